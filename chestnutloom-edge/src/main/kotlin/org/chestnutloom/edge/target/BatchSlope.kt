package org.chestnutloom.edge.target

import org.chestnutloom.queue.LinearTrend

/**
 * Learns by what fraction each other request in progress prolongs a request.
 *
 * @param prior the fraction before the observed loads differ enough
 */
internal class BatchSlope(
    prior: Double,
) {
    private val trend = LinearTrend(prior, PRIOR_VARIANCE)

    /** The fraction by which each other request prolongs a request at an idle target. */
    var value = prior
        private set

    /** Records that a request with [others] other requests took [ratio] times as long as expected at an idle target. */
    fun record(
        others: Double,
        ratio: Double,
    ) {
        trend.record(others, ratio.coerceIn(MIN_RATIO, MAX_RATIO))
        if (trend.intercept > 0) value = (trend.slope / trend.intercept).coerceIn(0.0, MAX_SLOPE)
    }

    private companion object {
        /** Loads that vary by less than one request say little about the effect of one. */
        private const val PRIOR_VARIANCE = 1.0

        /** Ratios beyond these are outliers rather than the effect of load. */
        private const val MIN_RATIO = 0.3
        private const val MAX_RATIO = 3.0

        /** A request that prolongs others by more than half would run faster alone. */
        private const val MAX_SLOPE = 0.5
    }
}
