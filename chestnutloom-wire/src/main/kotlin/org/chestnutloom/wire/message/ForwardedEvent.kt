package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One server-sent event of a streamed response; [data] is its payload without framing. */
@Serializable
@SerialName("forwarded-event")
public data class ForwardedEvent(
    public val index: Int,
    public val data: String,
) : LinkReply
