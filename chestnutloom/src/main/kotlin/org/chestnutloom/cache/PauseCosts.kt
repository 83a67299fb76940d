package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * Inputs to [pauseAction] for one program.
 *
 * @property cachedTokens tokens that the engine caches for the program
 * @property expectedPause expected time until the program's next call
 * @property prefillTokensPerSecond prefill throughput of the engine
 * @property transferTokensPerSecond throughput of cache export and import
 * @property cacheUtilization used fraction of the engine's cache, from 0 to 1
 * @property cacheTurnoverTime expected time for new prompts to fill the whole cache
 */
public data class PauseCosts(
    public val cachedTokens: Long,
    public val expectedPause: Duration,
    public val prefillTokensPerSecond: Double,
    public val transferTokensPerSecond: Double,
    public val cacheUtilization: Double,
    public val cacheTurnoverTime: Duration,
)
