package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Cancels a call at a sidecar unless it is non-idempotent and already running; the reply is one [CallStatus]. */
@Serializable
@SerialName("cancel")
public data class CancelCall(
    public val id: CallId,
) : LinkRequest
