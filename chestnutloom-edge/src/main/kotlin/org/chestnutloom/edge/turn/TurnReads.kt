package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import org.chestnutloom.common.log.event
import org.chestnutloom.id.CallId
import org.chestnutloom.time.Clock
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Reads turns with [read], each of them once at a time, and so many together as their size allows; confined to the event
 * loop.
 *
 * Calls that continue the same turn share what is read. A long turn waits for other long ones, and leaves room for short
 * ones, so that the calls of other accounts do not wait for it.
 */
internal class TurnReads(
    private val clock: Clock,
    private val read: suspend (CallId) -> Either<TurnFailure, TurnRecord>,
) {
    private val reading = HashMap<CallId, SharedRead>()
    private val waiting = ArrayList<CompletableDeferred<Unit>>()
    private var readingBytes = 0

    /** Returns the turn [id], whose size is expected to be [expectedBytes], or why it could not be read. */
    suspend fun read(
        id: CallId,
        expectedBytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        val askedAt = clock.elapsed()
        while (true) {
            val other = reading[id] ?: return readFirst(id, expectedBytes.coerceIn(0, MAX_TURN_BYTES))
            // Null if the call that read it has been cancelled.
            val result = other.result.await() ?: continue
            if (result == ABSENT) logAbsent(id, askedAt, other)
            return result
        }
    }

    /** Logs that [id] is absent according to [read], which another call began. */
    private fun logAbsent(
        id: CallId,
        askedAt: Duration,
        read: SharedRead,
    ) {
        val beganAt = read.beganAt ?: return
        logger.event(
            "turn_absence_shared",
            "turn" to id,
            "began_before_ms" to (askedAt - beganAt).inWholeMilliseconds,
            "took_ms" to (clock.elapsed() - beganAt).inWholeMilliseconds,
        )
    }

    private suspend fun readFirst(
        id: CallId,
        bytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        val shared = SharedRead()
        reading[id] = shared
        var result: Either<TurnFailure, TurnRecord>? = null
        try {
            return readWhenAllowed(id, bytes, shared).also { result = it }
        } finally {
            reading.remove(id)
            shared.result.complete(result)
        }
    }

    private suspend fun readWhenAllowed(
        id: CallId,
        bytes: Int,
        shared: SharedRead,
    ): Either<TurnFailure, TurnRecord> {
        while (readingBytes + bytes > MAX_BYTES) awaitEnd()
        readingBytes += bytes
        shared.beganAt = clock.elapsed()
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

    /** A read that several calls wait for. */
    private class SharedRead {
        /** The result, or null if the call that reads the turn has been cancelled. */
        val result = CompletableDeferred<Either<TurnFailure, TurnRecord>?>()

        /** When the turn was asked for, on the monotonic clock; null while the read waits for others. */
        var beganAt: Duration? = null
    }

    private companion object {
        private val ABSENT = TurnFailure.NotFound.left()

        /** The total size of the turns that are read together; each takes several times that until it is decoded. */
        const val MAX_BYTES = 4 * 1024 * 1024

        /** What a turn counts at most, so that short ones are read beside it. */
        const val MAX_TURN_BYTES = 3 * 1024 * 1024
    }
}
