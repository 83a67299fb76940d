package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable

/**
 * The load that an engine reports about itself, which may be out of date.
 *
 * @property cachedTokens the number of tokens in the prefix cache
 * @property cacheTokens the capacity of the prefix cache in tokens
 */
@Serializable
public data class EngineLoad(
    public val running: Int,
    public val waiting: Int,
    public val cachedTokens: Long,
    public val cacheTokens: Long,
)
