package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Asks a sidecar to go on with the replies of a call from chunk [fromChunk]; it replies as [RunCall] or [CallStatus]. */
@Serializable
@SerialName("attach")
public data class AttachCall(
    public val id: CallId,
    public val fromChunk: Int,
) : LinkRequest
