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
 * Lets requests of one client account through within its rate, those that have to wait in the order of their arrival.
 *
 * A short wait is better than a refusal: the caller would come back no sooner, and a program that is refused in its
 * middle has used its earlier requests for nothing.
 */
internal class AccountRateLimiter(
    val meter: AccountTokenBucket,
    private val clock: Clock,
) {
    private val startedAt = clock.elapsed()
    private val queue = Mutex()
    private var waiting = 0

    /** Returns how long a request that comes now has to wait if no other gateway admits any. */
    fun expectedWait(): Duration = meter.timeUntil(waiting + 1, clock.elapsed())

    /** Returns how long it takes until a program can start if nothing else is admitted. */
    fun expectedWaitForStart(): Duration = meter.timeUntil(waiting + 1, clock.elapsed(), keptForRunning())

    /**
     * Admits the first request of a program, and returns whether it was admitted.
     *
     * A part of the burst is kept for the programs under way, which ask for several calls at a time.
     */
    fun tryAcquireStart(): Boolean = waiting == 0 && meter.tryAcquire(clock.elapsed(), keptForRunning())

    /** A new meter starts empty, so that only a part of what is kept can have come together yet. */
    private fun keptForRunning(): Double {
        val age = clock.elapsed() - startedAt
        return KEPT_FOR_RUNNING * (age / FULLY_KEPT_AFTER).coerceAtMost(1.0)
    }

    /**
     * Admits one request and returns whether it was admitted.
     *
     * It waits if it is expected to be admitted within [maxWait], and then for twice as long at most, as other
     * gateways may admit requests of the account meanwhile.
     */
    suspend fun acquire(maxWait: Duration): Boolean {
        if (waiting == 0 && meter.tryAcquire(clock.elapsed())) return true
        if (expectedWait() > maxWait) return false
        waiting++
        try {
            return withTimeoutOrNull(maxWait * PATIENCE_FACTOR) { queue.withLock { take() } } != null
        } finally {
            waiting--
        }
    }

    private suspend fun take() {
        while (!meter.tryAcquire(clock.elapsed())) delay(expectedWaitOfFirst())
    }

    private fun expectedWaitOfFirst(): Duration = meter.timeUntil(1, clock.elapsed()).coerceAtLeast(SHORTEST_DELAY)

    private companion object {
        private const val PATIENCE_FACTOR = 2

        /** The part of the burst that no program is started on. */
        private const val KEPT_FOR_RUNNING = 0.5
        private val FULLY_KEPT_AFTER = 5.seconds
        private val SHORTEST_DELAY = 1.milliseconds
    }
}
