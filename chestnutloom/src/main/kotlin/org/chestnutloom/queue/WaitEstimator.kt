package org.chestnutloom.queue

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Learns how long calls take, and estimates how long a new one waits; it is not safe for concurrent use. */
public class WaitEstimator {
    private var meanServiceMs = 0.0
    private var meanCostTokens = 0.0
    private var samples = 0L

    /** Takes note of a call that cost [costTokens] and ran for [service]. */
    public fun record(
        costTokens: Long,
        service: Duration,
    ) {
        samples++
        val weight = maxOf(1.0 / samples, NEWEST_WEIGHT)
        meanServiceMs += weight * (service.inWholeMilliseconds - meanServiceMs)
        meanCostTokens += weight * (costTokens - meanCostTokens)
    }

    /** Estimates the wait behind [tokensAhead] when [running] of [maxRunning] calls run; zero before any sample. */
    public fun expectedWait(
        tokensAhead: Long,
        running: Int,
        maxRunning: Int,
    ): Duration {
        if (running < maxRunning && tokensAhead == 0L || samples == 0L) return Duration.ZERO
        val callsAhead = tokensAhead / meanCostTokens.coerceAtLeast(1.0)
        val slotsAhead = callsAhead + running - maxRunning + 1
        val waitMs = slotsAhead.coerceAtLeast(0.0) * meanServiceMs / maxRunning
        return waitMs.milliseconds
    }

    private companion object {
        /** Least weight of the newest sample in the moving means. */
        const val NEWEST_WEIGHT = 0.1
    }
}
