package org.chestnutloom.queue

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Estimates the prefill rate of an engine, in uncached prompt tokens per second. */
public class PrefillRateEstimator {
    /** Moving average in tokens per second, or 0 before the first sample. */
    @get:Synchronized
    public var tokensPerSecond: Double = 0.0
        private set

    /** Records the time to first token of a prompt with [uncachedTokens]. */
    @Synchronized
    public fun record(
        uncachedTokens: Long,
        timeToFirstToken: Duration,
    ) {
        val seconds = timeToFirstToken.toDouble(DurationUnit.SECONDS)
        if (uncachedTokens < MIN_SAMPLE_TOKENS || seconds <= 0.0) return
        val sample = uncachedTokens / seconds
        tokensPerSecond =
            if (tokensPerSecond == 0.0) sample else tokensPerSecond + SMOOTHING_FACTOR * (sample - tokensPerSecond)
    }

    private companion object {
        /** Shorter prompts are ignored, since fixed costs dominate their time to first token. */
        const val MIN_SAMPLE_TOKENS = 32
        const val SMOOTHING_FACTOR = 0.2
    }
}
