package org.chestnutloom.fakes.load

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The token bucket that one limiter for the whole fleet would have, which tells wrongful refusals from others.
 *
 * Requests are charged when they are sent; refused ones get their token back.
 */
internal class ReferenceBucket(
    private val ratePerSecond: Double,
    private val burst: Int,
) {
    private val lock = Any()
    private var tokens = burst.toDouble()
    private var updatedAt = Duration.ZERO

    /** Charges a request sent at [now], and tells whether it is inside the rate and burst. */
    fun send(now: Duration): Boolean =
        synchronized(lock) {
            val earned = (now - updatedAt).toDouble(DurationUnit.SECONDS) * ratePerSecond
            tokens = minOf(burst.toDouble(), tokens + earned)
            updatedAt = now
            tokens -= 1
            tokens >= 0
        }

    /** Gives back the token of a request that was refused. */
    fun giveBack() {
        synchronized(lock) { tokens = minOf(burst.toDouble(), tokens + 1) }
    }
}
