package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An answer, or one chunk of it, in the chat-completions shape. */
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
    /** The text that this answer or chunk carries. */
    val text: String
        get() = choices.joinToString("") { it.delta?.content ?: it.message?.content.orEmpty() }
}
