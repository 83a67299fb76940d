package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The single choice of a response: chunks of a stream have a [delta], complete responses a [message]. */
@Serializable
internal data class CompletionChoice(
    val index: Int = 0,
    val delta: CompletionMessage? = null,
    val message: CompletionMessage? = null,
    @SerialName("finish_reason")
    val finishReason: String? = null,
)
