package org.chestnutloom.edge.config

/**
 * What the model engines of a service share out.
 *
 * @property slots requests that run at once in an engine
 * @property cacheTokens tokens that an engine's memory holds
 * @property tokensPerEvent tokens that each event of a stream stands for
 */
public data class EngineLimits(
    public val slots: Int,
    public val cacheTokens: Long,
    public val tokensPerEvent: Int,
)
