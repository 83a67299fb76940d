package org.chestnutloom.edge.turn

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import org.chestnutloom.id.CallId

/**
 * Reads turns with [read], each of them once at a time, and so many together as their size allows; confined to the event
 * loop.
 *
 * Calls that continue the same turn share what is read. The size of a turn is known only once it was read, so that those
 * read last tell how many may be read together.
 */
internal class TurnReads(
    private val read: suspend (CallId) -> Either<TurnFailure, TurnRecord>,
) {
    private val reading = HashMap<CallId, CompletableDeferred<Either<TurnFailure, TurnRecord>?>>()
    private val waiting = ArrayList<CompletableDeferred<Unit>>()
    private val recentBytes = ArrayDeque(listOf(ASSUMED_BYTES))
    private var readCount = 0

    /** Returns the turn [id], or why it could not be read. */
    suspend fun read(id: CallId): Either<TurnFailure, TurnRecord> {
        while (true) {
            val other = reading[id] ?: return readFirst(id)
            // Null if the call that read it has been cancelled.
            other.await()?.let { return it }
        }
    }

    private suspend fun readFirst(id: CallId): Either<TurnFailure, TurnRecord> {
        val shared = CompletableDeferred<Either<TurnFailure, TurnRecord>?>()
        reading[id] = shared
        var result: Either<TurnFailure, TurnRecord>? = null
        try {
            return readWhenAllowed(id).also { result = it }
        } finally {
            reading.remove(id)
            shared.complete(result)
        }
    }

    private suspend fun readWhenAllowed(id: CallId): Either<TurnFailure, TurnRecord> {
        while (readCount >= maxOf(1, MAX_BYTES / recentBytes.max())) awaitEnd()
        readCount++
        try {
            return read.invoke(id).onRight { recordSize(it.sizeBytes) }
        } finally {
            readCount--
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

    private fun recordSize(bytes: Int) {
        recentBytes += bytes
        if (recentBytes.size > RECENT_TURNS) recentBytes.removeFirst()
    }

    private companion object {
        /** The total size of the turns that are read at the same time, which take several times that until they are decoded. */
        const val MAX_BYTES = 6 * 1024 * 1024

        /** The size of turns as long as none was read. */
        const val ASSUMED_BYTES = 1024 * 1024
        const val RECENT_TURNS = 32
    }
}
