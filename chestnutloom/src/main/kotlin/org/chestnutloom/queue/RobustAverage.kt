package org.chestnutloom.queue

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A moving average of positive samples that tolerates outliers and follows lasting changes. Not thread-safe.
 *
 * The average is geometric, and a sample counts at most [CLIP_RATIO] times the average. Several consecutive samples far
 * off on the same side count more, because they are a change rather than outliers.
 *
 * @param halfLife the time in which the [confidence] halves without samples, after [FRESH]
 */
public class RobustAverage(
    private val halfLife: Duration = 10.seconds,
) {
    private var logAverage = 0.0
    private var recordedAt = Duration.ZERO

    /** The number of consecutive samples above, or if negative below, the average by more than [DEVIATION_RATIO]. */
    private var deviations = 0

    /** The number of samples so far. */
    public var samples: Int = 0
        private set

    /** The average, in the unit of the samples; 1 before the first one. */
    public val value: Double
        get() = exp(logAverage)

    /** Records [sample] at the monotonic time [now]; one that is not positive counts as a very small one. */
    public fun record(
        sample: Double,
        now: Duration,
    ) {
        recordedAt = now
        samples++
        if (samples == 1) {
            logAverage = ln(sample.coerceAtLeast(MIN_SAMPLE))
            return
        }
        val difference = ln(sample.coerceAtLeast(MIN_SAMPLE)) - logAverage
        countDeviation(difference)
        logAverage += weight() * difference.coerceIn(-MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE)
    }

    /** Returns between 0 and 1 how much the average says at the monotonic time [now]; 0 without samples. */
    public fun confidence(now: Duration): Double {
        val age = now - recordedAt - FRESH
        val freshness = if (age.isPositive()) HALF.pow(age / halfLife) else 1.0
        return freshness * samples / (samples + CONFIDENT_SAMPLES)
    }

    private fun countDeviation(difference: Double) {
        deviations =
            when {
                abs(difference) < DEVIATION_LOG -> 0
                difference > 0 -> deviations.coerceAtLeast(0) + 1
                else -> deviations.coerceAtMost(0) - 1
            }
    }

    private fun weight(): Double {
        val base = if (abs(deviations) >= CHANGE_DEVIATIONS) CHANGE_WEIGHT else WEIGHT
        return maxOf(base, 1.0 / samples)
    }

    private companion object {
        const val WEIGHT = 0.1
        const val CLIP_RATIO = 2.5
        val MAX_LOG_DIFFERENCE = ln(CLIP_RATIO)

        /** More than the samples of a short pause, and few enough to follow a change within twenty samples. */
        const val CHANGE_DEVIATIONS = 6
        const val CHANGE_WEIGHT = 0.25
        const val DEVIATION_RATIO = 1.4
        val DEVIATION_LOG = ln(DEVIATION_RATIO)

        /** The number of samples with which half of the average and half of the fallback are used. */
        const val CONFIDENT_SAMPLES = 2.0
        const val HALF = 0.5
        const val MIN_SAMPLE = 1e-6

        /** How long the last sample counts fully. */
        val FRESH = 5.seconds
    }
}
