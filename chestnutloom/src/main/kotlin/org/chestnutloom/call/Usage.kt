package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * The tokens that a model call used.
 *
 * @property promptTokens tokens of the prompt, cached ones included
 * @property cachedTokens tokens of the prompt that the engine found in its cache
 * @property completionTokens tokens that the engine generated
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
