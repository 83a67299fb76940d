package org.chestnutloom.edge.availability

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Limits the requests that this gateway sends to one cold target; full when it is first used. */
internal class ColdRequestBucket {
    private var availableTokens = Double.MAX_VALUE
    private var refilledAt: Duration? = null

    /** Returns whether a request may be sent at [now]. */
    fun hasRoom(
        now: Duration,
        allotment: ColdRequestRate,
    ): Boolean {
        refill(now, allotment)
        return availableTokens >= 1
    }

    /** Records that a request is sent at [now]. */
    fun take(
        now: Duration,
        allotment: ColdRequestRate,
    ) {
        refill(now, allotment)
        availableTokens -= 1
    }

    /** Records that a request did not reach the target or was rejected as misdirected. */
    fun giveBack() {
        if (refilledAt != null) availableTokens += 1
    }

    private fun refill(
        now: Duration,
        allotment: ColdRequestRate,
    ) {
        val elapsedSeconds = refilledAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        refilledAt = now
        availableTokens =
            (availableTokens + elapsedSeconds * allotment.requestsPerSecond).coerceAtMost(allotment.burstRequests)
    }
}
