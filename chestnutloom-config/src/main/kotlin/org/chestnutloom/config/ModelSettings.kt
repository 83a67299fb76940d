package org.chestnutloom.config

/**
 * One model that the environment offers.
 *
 * @property contextTokens the maximum number of prompt and completion tokens together
 * @property maxCompletionTokens the maximum number of tokens that a call may generate, and the default limit of a call
 */
public data class ModelSettings(
    public val contextTokens: Long,
    public val maxCompletionTokens: Long,
)
