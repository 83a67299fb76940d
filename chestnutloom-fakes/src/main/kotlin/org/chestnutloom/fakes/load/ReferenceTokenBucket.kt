package org.chestnutloom.fakes.load

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The token bucket of an ideal rate limiter for the whole fleet; a refusal that it would not make is wrongful.
 *
 * A request is charged when it is sent; its token is refunded if the gateways rate-limit it.
 */
internal class ReferenceTokenBucket(
    private val ratePerSecond: Double,
    private val burst: Int,
) {
    private val lock = Any()
    private var tokens = burst.toDouble()
    private var updatedAt = Duration.ZERO

    /** Charges a request sent at [now] and returns whether it is within the rate and burst. */
    fun charge(now: Duration): Boolean =
        synchronized(lock) {
            val earned = (now - updatedAt).toDouble(DurationUnit.SECONDS) * ratePerSecond
            tokens = minOf(burst.toDouble(), tokens + earned)
            updatedAt = now
            tokens -= 1
            tokens >= 0
        }

    /** Refunds the token of a rate-limited request. */
    fun refund() {
        synchronized(lock) { tokens = minOf(burst.toDouble(), tokens + 1) }
    }
}
