package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.call.Refusal

/** The call has no complete response; [refusal] says whether it ran. */
@Serializable
@SerialName("refused")
public data class CallRefused(
    public val refusal: Refusal,
) : LinkReply
