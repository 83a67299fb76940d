package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/** Asks a sidecar to stop a call unless it is non-idempotent and running; the reply is one [CallStatus]. */
@Serializable
@SerialName("cancel")
public data class CancelCall(
    public val id: CallId,
) : LinkRequest
