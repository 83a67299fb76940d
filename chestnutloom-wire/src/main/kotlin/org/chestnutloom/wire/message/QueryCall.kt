package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId

/**
 * Asks a sidecar what became of a call; the reply is one [CallStatus].
 *
 * An unknown id, and with [fence] also a queued one, is refused from then on, so the answer [CallState.NOT_RUN] stays
 * true.
 */
@Serializable
@SerialName("query")
public data class QueryCall(
    public val id: CallId,
    public val fence: Boolean,
) : LinkRequest
