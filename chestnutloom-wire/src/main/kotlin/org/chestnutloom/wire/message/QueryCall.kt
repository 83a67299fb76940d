package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/**
 * Asks a sidecar for the state of a call; the reply is one [CallStatus].
 *
 * The sidecar rejects an unknown id from then on, and with [fence] also the id of a queued call, so that the state
 * [CallState.NOT_RUN] is final.
 */
@Serializable
@SerialName("query")
public data class QueryCall(
    public val id: CallId,
    public val fence: Boolean,
) : LinkRequest
