package org.chestnutloom.cache

import kotlin.time.Duration

/**
 * What a decision on a paused program's cache rests on.
 *
 * @property cachedTokens tokens that the engine holds for the program
 * @property expectedPause expected time until the program's next call
 * @property prefillTokensPerSecond speed of computing prompt tokens
 * @property transferTokensPerSecond speed of export and import
 * @property cacheUtilization share of the engine's cache that is in use, from 0 to 1
 * @property cacheTurnoverTime expected time in which new prompts would fill the whole cache
 */
public data class PauseCosts(
    public val cachedTokens: Long,
    public val expectedPause: Duration,
    public val prefillTokensPerSecond: Double,
    public val transferTokensPerSecond: Double,
    public val cacheUtilization: Double,
    public val cacheTurnoverTime: Duration,
)
