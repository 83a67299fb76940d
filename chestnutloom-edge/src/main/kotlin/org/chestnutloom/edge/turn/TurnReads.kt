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
 * Calls that continue the same turn share what is read. That it does not exist is shared only with calls that came before
 * the read began: others may continue a turn that was stored after the store had looked for it.
 *
 * A long turn waits for other long ones, and leaves room for short ones, so that the calls of other accounts do not wait for
 * it.
 */
internal class TurnReads(
    private val clock: Clock,
    private val read: suspend (CallId) -> Either<TurnFailure, TurnRecord>,
) {
    private val reading = HashMap<CallId, SharedRead>()
    private val waiting = ArrayList<CompletableDeferred<Unit>>()
    private var readingBytes = 0

    /** Counts calls and beginnings of reads in the order in which they happen. */
    private var lastMoment = 0L

    /** Returns the turn [id], whose size is expected to be [expectedBytes], or why it could not be read. */
    suspend fun read(
        id: CallId,
        expectedBytes: Int,
    ): Either<TurnFailure, TurnRecord> {
        val askedAt = ++lastMoment
        while (true) {
            val other = reading[id] ?: return readFirst(id, expectedBytes.coerceIn(0, MAX_TURN_BYTES))
            // Null if the call that read it has been cancelled.
            val result = other.result.await() ?: continue
            if (result != ABSENT || other.hasBegunAfter(askedAt)) return result
            logOutdated(id, other)
        }
    }

    /** Logs that [read] did not find the turn [id], but began before a call that asks for it. */
    private fun logOutdated(
        id: CallId,
        read: SharedRead,
    ) {
        val tookMs = read.startedAt?.let { (clock.elapsed() - it).inWholeMilliseconds }
        logger.event("turn_read_again", "turn" to id, "read_took_ms" to tookMs)
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
        shared.begin()
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
    private inner class SharedRead {
        /** The result, or null if the call that reads the turn has been cancelled. */
        val result = CompletableDeferred<Either<TurnFailure, TurnRecord>?>()

        /** The time on the monotonic clock at which the store was asked; null while the read waits for others. */
        var startedAt: Duration? = null
            private set

        private var beganAt = 0L

        fun begin() {
            startedAt = clock.elapsed()
            beganAt = ++lastMoment
        }

        fun hasBegunAfter(moment: Long): Boolean = beganAt > moment
    }

    private companion object {
        private val ABSENT = TurnFailure.NotFound.left()

        /** The total size of the turns that are read together; each takes several times that until it is decoded. */
        const val MAX_BYTES = 4 * 1024 * 1024

        /** What a turn counts at most, so that short ones are read beside it. */
        const val MAX_TURN_BYTES = 3 * 1024 * 1024
    }
}
