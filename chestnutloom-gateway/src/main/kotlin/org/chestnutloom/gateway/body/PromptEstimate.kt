package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private const val BYTES_PER_TOKEN = 3
private const val TOKENS_PER_MESSAGE = 8

/**
 * Returns an upper estimate of the number of prompt tokens of [request].
 *
 * Tokenizers differ between engines, so each text counts as the larger of one token per word and one token per three
 * bytes. A constant per message covers the tokens of its framing.
 */
internal fun estimatePromptTokens(request: JsonObject): Long {
    val messages = request["messages"] as? JsonArray ?: return 0
    return messages.sumOf { TOKENS_PER_MESSAGE + estimateElement(it) }
}

private fun estimateElement(element: JsonElement): Long =
    when (element) {
        is JsonObject -> element.values.sumOf(::estimateElement)
        is JsonArray -> element.sumOf(::estimateElement)
        is JsonPrimitive -> estimateText(element.content)
    }

private fun estimateText(text: String): Long {
    val tokensBySize = (text.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
    return maxOf(tokensBySize, countWords(text)).toLong()
}

private fun countWords(text: String): Int =
    text.indices.count { !text[it].isWhitespace() && (it == 0 || text[it - 1].isWhitespace()) }
