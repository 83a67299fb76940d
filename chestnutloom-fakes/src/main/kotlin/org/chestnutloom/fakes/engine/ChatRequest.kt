package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The fields of a chat-completions request that the stand-in supports. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens")
    val maxTokens: Int? = null,
    @SerialName("max_completion_tokens")
    val maxCompletionTokens: Int? = null,
) {
    /** The number of tokens to generate. */
    val completionTokens: Int
        get() = (maxCompletionTokens ?: maxTokens ?: DEFAULT_COMPLETION_TOKENS).coerceAtLeast(1)

    /** The text of the last message. */
    val lastMessage: String
        get() = messages.last().text

    /** Returns the full prompt as text. Each turn appends to it, so that earlier turns are a prefix. */
    fun promptText(): String = messages.joinToString("") { promptLine(it.role, it.text) }

    companion object {
        private const val DEFAULT_COMPLETION_TOKENS = 16

        /** Returns one message in the form that it has in a prompt. */
        fun promptLine(
            role: String,
            text: String,
        ): String = "$role:$text\n"
    }
}
