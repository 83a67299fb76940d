package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.call.Refusal

/**
 * The state of a call at a sidecar.
 *
 * @property ended the complete response, if [state] is [CallState.ENDED] and there is one
 * @property refusal why there is no complete response, if [state] is [CallState.ENDED] and [ended] is null
 */
@Serializable
@SerialName("status")
public data class CallStatus(
    public val state: CallState,
    public val ended: CallEnded? = null,
    public val refusal: Refusal? = null,
) : LinkReply
