package org.chestnutloom.queue

/**
 * The line through recent points, by least squares with exponentially decreasing weights. Not thread-safe.
 *
 * @param priorSlope the slope before the points differ enough in x
 * @param priorVariance the variance in x at which the points count as much as [priorSlope]
 */
public class LinearTrend(
    private val priorSlope: Double,
    private val priorVariance: Double,
) {
    private var meanX = 0.0
    private var meanY = 0.0
    private var varianceX = 0.0
    private var covariance = 0.0

    /** The number of points so far. */
    public var samples: Int = 0
        private set

    /** The change in y for each unit of x. */
    public val slope: Double
        get() = (covariance + priorVariance * priorSlope) / (varianceX + priorVariance)

    /** The value of y at x = 0. */
    public val intercept: Double
        get() = meanY - slope * meanX

    /** Records the point ([x], [y]). */
    public fun record(
        x: Double,
        y: Double,
    ) {
        samples++
        val weight = maxOf(1.0 / samples, MIN_WEIGHT)
        val deltaX = x - meanX
        val deltaY = y - meanY
        meanX += weight * deltaX
        meanY += weight * deltaY
        varianceX = (1 - weight) * (varianceX + weight * deltaX * deltaX)
        covariance = (1 - weight) * (covariance + weight * deltaX * deltaY)
    }

    private companion object {
        /** About the last hundred points count: slopes are noisier than averages and change less often. */
        const val MIN_WEIGHT = 0.02
    }
}
