package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * Token usage of a model call.
 *
 * @property promptTokens prompt tokens, including cached ones
 * @property cachedTokens prompt tokens that the engine served from its cache
 * @property completionTokens generated tokens
 */
@Serializable
public data class Usage(
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val completionTokens: Long = 0,
) {
    /** Tokens that count against a budget. */
    public val totalTokens: Long
        get() = promptTokens + completionTokens
}
