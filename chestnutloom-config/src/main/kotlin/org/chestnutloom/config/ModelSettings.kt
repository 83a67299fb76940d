package org.chestnutloom.config

/**
 * One model that the environment offers.
 *
 * @property contextTokens the maximum number of prompt and completion tokens together
 * @property maxCompletionTokens the most tokens that one call may generate, and the default of a call that names none
 */
public data class ModelSettings(
    public val contextTokens: Long,
    public val maxCompletionTokens: Long,
)
