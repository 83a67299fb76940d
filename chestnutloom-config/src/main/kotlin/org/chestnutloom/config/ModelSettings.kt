package org.chestnutloom.config

/**
 * One model that the environment offers.
 *
 * @property contextTokens the most tokens of prompt and completion together
 * @property maxCompletionTokens the most tokens that one call may generate, and the default of a call that names none
 */
public data class ModelSettings(
    public val contextTokens: Long,
    public val maxCompletionTokens: Long,
)
