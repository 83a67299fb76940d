package org.chestnutloom.integration.caller

/**
 * The typed error of a failed request.
 *
 * @property execution `not_run`, `ran` or `unknown`
 */
data class CallerError(
    val code: String,
    val execution: String,
    val message: String,
)
