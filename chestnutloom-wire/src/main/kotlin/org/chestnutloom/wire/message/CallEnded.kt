package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.call.Usage

/**
 * The complete response of a call.
 *
 * @property status the target's HTTP status
 * @property body the response body; for a streamed call, the assembled completion
 * @property chunks the number of [CallChunk]s in the complete response
 * @property serviceMs how long the call ran at the target, in milliseconds
 */
@Serializable
@SerialName("ended")
public data class CallEnded(
    public val status: Int,
    public val contentType: String,
    public val body: String,
    public val chunks: Int,
    public val usage: Usage,
    public val serviceMs: Long,
) : LinkReply
