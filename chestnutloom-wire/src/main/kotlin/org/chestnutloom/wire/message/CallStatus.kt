package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.call.Refusal

/**
 * What a sidecar knows of a call.
 *
 * @property ended the whole answer, when [state] is [CallState.ENDED] and there is one
 * @property refusal why there is no whole answer, when [state] is [CallState.ENDED] without [ended]
 */
@Serializable
@SerialName("status")
public data class CallStatus(
    public val state: CallState,
    public val ended: CallEnded? = null,
    public val refusal: Refusal? = null,
) : LinkReply
