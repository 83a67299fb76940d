package org.chestnutloom.edge.config

/**
 * The capacity of the model engines of a service.
 *
 * @property slots the number of requests that an engine runs concurrently
 * @property cacheTokens the number of tokens that an engine caches
 * @property tokensPerEvent the number of tokens in each event of a stream
 */
public data class EngineLimits(
    public val slots: Int,
    public val cacheTokens: Long,
    public val tokensPerEvent: Int,
)
