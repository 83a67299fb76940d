package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The only choice of an answer; chunks carry a [delta], whole answers a [message]. */
@Serializable
internal data class CompletionChoice(
    val index: Int = 0,
    val delta: CompletionMessage? = null,
    val message: CompletionMessage? = null,
    @SerialName("finish_reason")
    val finishReason: String? = null,
)
