package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Resumes the replies of a call from chunk [fromChunk]; the replies are those of [RunCall], or one [CallStatus]. */
@Serializable
@SerialName("attach")
public data class AttachCall(
    public val id: CallId,
    public val fromChunk: Int,
) : LinkRequest
