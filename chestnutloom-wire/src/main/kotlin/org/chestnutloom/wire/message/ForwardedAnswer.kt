package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.call.Refusal

/** Ends the replies to a forwarded request, with either [refusal], or [status] and [body]. */
@Serializable
@SerialName("forwarded-answer")
public data class ForwardedAnswer(
    public val status: Int,
    public val body: String,
    public val refusal: Refusal? = null,
) : LinkReply
