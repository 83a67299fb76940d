package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The parts of a chat-completions request that the stand-in heeds. */
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
    /** How many tokens the answer has. */
    val answerTokens: Int
        get() = (maxCompletionTokens ?: maxTokens ?: DEFAULT_ANSWER_TOKENS).coerceAtLeast(1)

    /** The text of the last message. */
    val lastMessage: String
        get() = messages.last().text

    /** The whole prompt as text, which grows at its end from turn to turn. */
    fun promptText(): String = messages.joinToString("") { promptLine(it.role, it.text) }

    companion object {
        private const val DEFAULT_ANSWER_TOKENS = 16

        /** Returns the part of a prompt that one message makes. */
        fun promptLine(
            role: String,
            text: String,
        ): String = "$role:$text\n"
    }
}
