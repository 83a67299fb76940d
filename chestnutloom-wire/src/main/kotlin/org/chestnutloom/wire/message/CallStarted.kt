package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The call was sent to the target after [queuedMs] milliseconds in the queue. */
@Serializable
@SerialName("started")
public data class CallStarted(
    public val queuedMs: Long,
) : LinkReply
