package org.chestnutloom.fakes.tool

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A tool service's answer: what it did.
 *
 * @property effect counts the effects of the service, from 1
 */
@Serializable
public data class ToolEffect(
    @SerialName("request_id")
    public val requestId: String?,
    public val effect: Int,
    public val method: String,
    public val path: String,
    @SerialName("body_bytes")
    public val bodyBytes: Int,
)
