package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/**
 * Counters of an engine since its start.
 *
 * @property prefilledTokens prompt tokens that were not in the cache
 * @property cachedTokens prompt tokens that were in the cache
 * @property heldTokens tokens that are in the cache now
 */
@Serializable
public data class EngineStats(
    public val requests: Long,
    public val prefilledTokens: Long,
    public val cachedTokens: Long,
    public val generatedTokens: Long,
    public val heldTokens: Long,
)
