package org.chestnutloom.edge.target

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Passive health check: applies an exponential backoff to a target after failed requests. */
internal class TargetHealth {
    private var failureCount = 0
    private var backoffUntil = Duration.ZERO

    /** Returns whether the target is in backoff at [now]. */
    fun isInBackoff(now: Duration): Boolean = now < backoffUntil

    /** Records a valid response and resets the backoff. */
    fun recordSuccess() {
        failureCount = 0
        backoffUntil = Duration.ZERO
    }

    /** Records a failed connection attempt or an aborted response; each consecutive failure doubles the backoff. */
    fun recordFailure(now: Duration) {
        val backoff = (INITIAL_BACKOFF * (1 shl failureCount.coerceAtMost(MAX_DOUBLINGS))).coerceAtMost(MAX_BACKOFF)
        failureCount++
        backoffUntil = now + backoff
    }

    private companion object {
        private val INITIAL_BACKOFF = 200.milliseconds
        private val MAX_BACKOFF = 3.seconds
        private const val MAX_DOUBLINGS = 4
    }
}
