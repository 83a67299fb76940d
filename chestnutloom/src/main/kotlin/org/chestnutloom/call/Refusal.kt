package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * A typed answer in place of a result.
 *
 * @property code why, from a fixed list
 * @property execution whether the call ran
 * @property detail one sentence for the caller; it holds no secret
 * @property retryAfterMs when a repeat may succeed, in milliseconds, or null when that is not known
 */
@Serializable
public data class Refusal(
    public val code: RefusalCode,
    public val execution: Execution,
    public val detail: String,
    public val retryAfterMs: Long? = null,
)
