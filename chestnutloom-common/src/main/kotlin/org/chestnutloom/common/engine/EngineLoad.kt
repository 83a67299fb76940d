package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable

/**
 * An engine's report of its own load, some time old.
 *
 * @property cachedTokens tokens that the prefix cache holds
 * @property cacheTokens tokens that the prefix cache can hold
 */
@Serializable
public data class EngineLoad(
    public val running: Int,
    public val waiting: Int,
    public val cachedTokens: Long,
    public val cacheTokens: Long,
)
