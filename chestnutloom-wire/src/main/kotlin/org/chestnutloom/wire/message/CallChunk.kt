package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One chunk of a streamed response.
 *
 * @property index the chunk's number within the call, from 0
 * @property data the payload of one server-sent event, without framing
 */
@Serializable
@SerialName("chunk")
public data class CallChunk(
    public val index: Int,
    public val data: String,
) : LinkReply
