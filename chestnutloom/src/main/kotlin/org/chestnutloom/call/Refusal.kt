package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * A typed error returned in place of a result.
 *
 * @property code the reason
 * @property execution whether the call was executed
 * @property detail one sentence for the caller, without secrets
 * @property retryAfterMs delay after which a retry may succeed, in milliseconds, or null if unknown
 */
@Serializable
public data class Refusal(
    public val code: RefusalCode,
    public val execution: Execution,
    public val detail: String,
    public val retryAfterMs: Long? = null,
)
