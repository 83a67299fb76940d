package org.chestnutloom.edge.target

import org.chestnutloom.queue.LinearTrend

/** Learns the prefill time of a token at a mean target of a service. */
internal class PrefillTime {
    private val trend = LinearTrend(PRIOR_MS_PER_TOKEN, PRIOR_VARIANCE)

    /** The prefill time of an uncached token, in milliseconds. */
    var msPerToken = PRIOR_MS_PER_TOKEN
        private set

    /**
     * Returns whether a prompt was probably cached, although the gateway expected [uncachedTokens] uncached ones, since
     * the response began after [firstByteMs] instead of [idleMs] and the prefill time.
     *
     * Other gateways send the same prompts, so the estimate of the cache contains only a part of what is cached.
     */
    fun wasCached(
        uncachedTokens: Long,
        firstByteMs: Double,
        idleMs: Double,
    ): Boolean =
        uncachedTokens >= MIN_CACHED_TOKENS && firstByteMs < idleMs + uncachedTokens * msPerToken * CACHED_FRACTION

    /** Records that the response to a prompt with [uncachedTokens] began after [firstByteMs] at a mean target. */
    fun record(
        uncachedTokens: Long,
        firstByteMs: Double,
    ) {
        trend.record(uncachedTokens.toDouble(), firstByteMs)
        msPerToken = trend.slope.coerceIn(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
    }

    private companion object {
        private const val PRIOR_MS_PER_TOKEN = 1.0 / 170

        /** Prompts that differ by less than a thousand tokens say little about the time of a token. */
        private const val PRIOR_VARIANCE = 1e6
        private const val MIN_MS_PER_TOKEN = 1.0 / 2_000
        private const val MAX_MS_PER_TOKEN = 1.0

        /** Shorter prompts take too little time to tell. */
        private const val MIN_CACHED_TOKENS = 2_000L
        private const val CACHED_FRACTION = 0.25
    }
}
