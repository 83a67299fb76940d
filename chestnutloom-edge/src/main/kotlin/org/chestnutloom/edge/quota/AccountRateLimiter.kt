package org.chestnutloom.edge.quota

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the request rate of one client account. Requests that have to wait are admitted in order of arrival.
 *
 * A short wait is better than a refusal: the caller would not retry any sooner, and refusing a request of a running
 * program wastes the program's earlier requests.
 */
internal class AccountRateLimiter(
    val bucket: AccountTokenBucket,
    private val clock: Clock,
) {
    private val startedAt = clock.elapsed()
    private val queue = Mutex()
    private var waiting = 0

    /** Returns the expected wait of a new request, assuming that no other gateway admits requests. */
    fun expectedWait(): Duration = bucket.timeUntil(waiting + 1, clock.elapsed())

    /** Returns the expected time until a program can start, assuming that no other request is admitted. */
    fun expectedWaitForStart(): Duration = bucket.timeUntil(waiting + 1, clock.elapsed(), reservedForRunning())

    /**
     * Tries to admit the first request of a program without waiting.
     *
     * A part of the burst is reserved for running programs, which issue several requests at once.
     */
    fun tryStart(): Boolean = waiting == 0 && bucket.tryAcquire(clock.elapsed(), reservedForRunning())

    /**
     * Takes up to [wanted] tokens for another gateway to use later, and returns their number.
     *
     * A new bucket lends none, because it does not know what was lent and admitted before.
     */
    fun lend(wanted: Int): Int {
        if (waiting > 0 || clock.elapsed() - startedAt < FULL_RESERVE_AFTER) return 0
        return bucket.lend(wanted, clock.elapsed(), RESERVED_FOR_RUNNING)
    }

    /** Whether the part of the burst that is reserved for running programs is complete. */
    fun isReserveComplete(): Boolean =
        waiting == 0 && bucket.timeUntil(0, clock.elapsed(), RESERVED_FOR_RUNNING) == Duration.ZERO

    /** A new bucket starts empty, so the reserved part grows over the first seconds to let programs start early. */
    private fun reservedForRunning(): Double {
        val age = clock.elapsed() - startedAt
        return RESERVED_FOR_RUNNING * (age / FULL_RESERVE_AFTER).coerceAtMost(1.0)
    }

    /**
     * Admits one request, possibly after a wait, and returns whether it was admitted.
     *
     * The request waits if its expected wait is at most [maxWait]. The actual wait may be up to twice as long, since
     * other gateways may admit requests of the account in the meantime.
     */
    suspend fun acquire(maxWait: Duration): Boolean {
        if (waiting == 0 && bucket.tryAcquire(clock.elapsed())) return true
        if (expectedWait() > maxWait) return false
        waiting++
        try {
            return withTimeoutOrNull(maxWait * MAX_WAIT_FACTOR) { queue.withLock { acquireNext() } } != null
        } finally {
            waiting--
        }
    }

    private suspend fun acquireNext() {
        while (!bucket.tryAcquire(clock.elapsed())) delay(timeUntilNext())
    }

    private fun timeUntilNext(): Duration = bucket.timeUntil(1, clock.elapsed()).coerceAtLeast(MIN_DELAY)

    private companion object {
        private const val MAX_WAIT_FACTOR = 2

        /** Fraction of the burst that is not available for starting programs. */
        private const val RESERVED_FOR_RUNNING = 0.5
        private val FULL_RESERVE_AFTER = 5.seconds
        private val MIN_DELAY = 1.milliseconds
    }
}
