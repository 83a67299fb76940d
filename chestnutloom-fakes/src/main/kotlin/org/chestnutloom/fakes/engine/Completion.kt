package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A response, or one chunk of a stream, in the chat-completions format. */
@Serializable
internal data class Completion(
    val id: String,
    @SerialName("object")
    val type: String,
    val created: Long,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: CompletionUsage? = null,
) {
    /** The text of this response or chunk. */
    val text: String
        get() = choices.joinToString("") { it.delta?.content ?: it.message?.content.orEmpty() }
}
