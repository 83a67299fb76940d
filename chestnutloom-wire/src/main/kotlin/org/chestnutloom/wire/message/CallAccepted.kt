package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The sidecar has queued the call, or already has a call with the same id. */
@Serializable
@SerialName("accepted")
public data class CallAccepted(
    public val state: CallState,
) : LinkReply
