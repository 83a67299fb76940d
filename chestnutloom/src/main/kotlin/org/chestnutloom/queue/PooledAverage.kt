package org.chestnutloom.queue

import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Averages by key that fall back to the mean of all keys where samples are few or old. Not thread-safe.
 *
 * @param prior the mean before the first sample, in the unit of the samples
 * @param halfLife the time in which a key's average approaches the mean by half without samples
 * @param maxKeys the number of keys kept; those without recent samples are dropped beyond it
 */
public class PooledAverage<K : Any>(
    private val prior: Double,
    private val halfLife: Duration = 10.seconds,
    private val maxKeys: Int = 512,
) {
    private val averages = LinkedHashMap<K, RobustAverage>()
    private var cachedMean = prior
    private var meanComputedAt: Duration? = null

    /** Records [sample] of [key] at the monotonic time [now]. */
    public fun record(
        key: K,
        sample: Double,
        now: Duration,
    ) {
        val average = averages.remove(key) ?: RobustAverage(halfLife)
        averages[key] = average
        average.record(sample, now)
        if (averages.size > maxKeys) averages.remove(averages.keys.first())
    }

    /** Returns the estimate for [key] at the monotonic time [now]; the mean for an unknown key. */
    public fun estimate(
        key: K,
        now: Duration,
    ): Double {
        val mean = mean(now)
        val average = averages[key] ?: return mean
        val confidence = average.confidence(now)
        return exp(confidence * ln(average.value) + (1 - confidence) * ln(mean))
    }

    /** Returns the mean over the keys, weighted by confidence; at most [MEAN_PERIOD] old. */
    public fun mean(now: Duration): Double {
        val computedAt = meanComputedAt
        if (computedAt == null || now - computedAt >= MEAN_PERIOD) {
            cachedMean = computeMean(now)
            meanComputedAt = if (averages.isEmpty()) null else now
        }
        return cachedMean
    }

    /** Returns the smallest and the largest estimate divided by the mean, or null without samples. */
    public fun range(now: Duration): ClosedFloatingPointRange<Double>? {
        if (averages.isEmpty()) return null
        val ratios = averages.keys.map { estimate(it, now) / mean(now) }
        return ratios.min()..ratios.max()
    }

    /** Drops the keys for which [isKept] is false. */
    public fun retain(isKept: (K) -> Boolean) {
        averages.keys.removeIf { !isKept(it) }
    }

    private fun computeMean(now: Duration): Double {
        var weights = 0.0
        var logs = 0.0
        for (average in averages.values) {
            val weight = average.confidence(now) + MIN_WEIGHT
            weights += weight
            logs += weight * ln(average.value)
        }
        return if (weights == 0.0) prior else exp(logs / weights)
    }

    private companion object {
        /** Keeps the mean when all samples are old. */
        const val MIN_WEIGHT = 0.01
        val MEAN_PERIOD = 100.milliseconds
    }
}
