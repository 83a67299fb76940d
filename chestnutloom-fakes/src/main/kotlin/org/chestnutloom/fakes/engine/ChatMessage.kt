package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive

/** One message of a chat-completions request. */
@Serializable
internal data class ChatMessage(
    val role: String,
    val content: JsonElement = JsonNull,
) {
    /** The content as text; multipart content is returned as JSON. */
    val text: String
        get() = if (content is JsonPrimitive) content.content else content.toString()
}
