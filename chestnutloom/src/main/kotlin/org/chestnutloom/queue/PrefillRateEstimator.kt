package org.chestnutloom.queue

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Learns how fast an engine computes prompt tokens that it has not cached. */
public class PrefillRateEstimator {
    /** Recent tokens a second, or 0 before the first sample. */
    @get:Synchronized
    public var tokensPerSecond: Double = 0.0
        private set

    /** Takes note that the first token came [timeToFirstToken] after a prompt with [uncachedTokens] new tokens. */
    @Synchronized
    public fun record(
        uncachedTokens: Long,
        timeToFirstToken: Duration,
    ) {
        val seconds = timeToFirstToken.toDouble(DurationUnit.SECONDS)
        if (uncachedTokens < LEAST_TOKENS || seconds <= 0.0) return
        val sample = uncachedTokens / seconds
        tokensPerSecond =
            if (tokensPerSecond == 0.0) sample else tokensPerSecond + NEWEST_WEIGHT * (sample - tokensPerSecond)
    }

    private companion object {
        /** Shorter prompts say more of fixed costs than of speed. */
        const val LEAST_TOKENS = 32
        const val NEWEST_WEIGHT = 0.2
    }
}
