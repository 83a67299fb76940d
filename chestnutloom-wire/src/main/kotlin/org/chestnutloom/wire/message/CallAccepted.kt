package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The sidecar holds the call in its queue or already has it under the same id. */
@Serializable
@SerialName("accepted")
public data class CallAccepted(
    public val state: CallState,
) : LinkReply
