package org.chestnutloom.queue

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Estimates the queueing time of a new call from the service times of recent calls. Not thread-safe. */
public class WaitEstimator {
    private var meanServiceMs = 0.0
    private var meanCostTokens = 0.0
    private var samples = 0L

    /** Records a call that cost [costTokens] and ran for [service]. */
    public fun record(
        costTokens: Long,
        service: Duration,
    ) {
        samples++
        val weight = maxOf(1.0 / samples, MIN_SAMPLE_WEIGHT)
        meanServiceMs += weight * (service.inWholeMilliseconds - meanServiceMs)
        meanCostTokens += weight * (costTokens - meanCostTokens)
    }

    /** Estimates the wait behind [tokensAhead] with [running] of [maxRunning] calls running; zero without samples. */
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
        /** Minimum weight of a new sample in the moving averages. */
        const val MIN_SAMPLE_WEIGHT = 0.1
    }
}
