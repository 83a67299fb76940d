package org.chestnutloom.edge.turn

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import org.chestnutloom.id.CallId

/**
 * Reads turns with [read], each of them once at a time, and so many together as their size allows; confined to the event
 * loop.
 *
 * Calls that continue the same turn share what is read. A long turn waits for other long ones, and leaves room for short
 * ones, so that the calls of other accounts do not wait for it.
 */
internal class TurnReads(
    private val read: suspend (CallId) -> Either<TurnFailure, TurnRecord>,
) {
    private val reading = HashMap<CallId, CompletableDeferred<Either<TurnFailure, TurnRecord>?>>()
    private val waiting = ArrayList<CompletableDeferred<Unit>>()
    private var readingBytes = 0

    /** Returns the turn [id], whose size is expected to be [expectedBytes], or why it could not be read. */
    suspend fun read(
        id: CallId,
        expectedBytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        while (true) {
            val other = reading[id] ?: return readFirst(id, expectedBytes.coerceIn(0, MAX_TURN_BYTES))
            // Null if the call that read it has been cancelled.
            other.await()?.let { return it }
        }
    }

    private suspend fun readFirst(
        id: CallId,
        bytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        val shared = CompletableDeferred<Either<TurnFailure, TurnRecord>?>()
        reading[id] = shared
        var result: Either<TurnFailure, TurnRecord>? = null
        try {
            return readWhenAllowed(id, bytes).also { result = it }
        } finally {
            reading.remove(id)
            shared.complete(result)
        }
    }

    private suspend fun readWhenAllowed(
        id: CallId,
        bytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        while (readingBytes + bytes > MAX_BYTES) awaitEnd()
        readingBytes += bytes
        try {
            return read.invoke(id)
        } finally {
            readingBytes -= bytes
            waiting.forEach { it.complete(Unit) }
        }
    }

    private suspend fun awaitEnd() {
        val end = CompletableDeferred<Unit>()
        waiting += end
        try {
            end.await()
        } finally {
            waiting -= end
        }
    }

    private companion object {
        /** The total size of the turns that are read together; each takes several times that until it is decoded. */
        const val MAX_BYTES = 4 * 1024 * 1024

        /** What a turn counts at most, so that short ones are read beside it. */
        const val MAX_TURN_BYTES = 3 * 1024 * 1024
    }
}
