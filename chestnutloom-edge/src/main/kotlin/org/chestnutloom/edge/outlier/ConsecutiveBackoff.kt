package org.chestnutloom.edge.outlier

import kotlin.time.Duration

/** A backoff that starts with [initial] and doubles with each consecutive event, up to [max]. */
internal class ConsecutiveBackoff(
    private val initial: Duration,
    private val max: Duration,
) {
    private var next = initial
    private var until = Duration.ZERO

    /** Returns whether the backoff lasts beyond [now]. */
    fun isActive(now: Duration): Boolean = now < until

    /** Starts the backoff at [now]. Events within the same backoff, such as those of a burst, count as one. */
    fun record(now: Duration) {
        if (isActive(now)) return
        until = now + next
        next = (next * 2).coerceAtMost(max)
    }

    /** Ends the backoff. */
    fun reset() {
        next = initial
        until = Duration.ZERO
    }
}
