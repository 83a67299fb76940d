package org.chestnutloom.fakes.tool

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The response of a tool service.
 *
 * @property effect the number of the effect at this service, starting at 1
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
