package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private const val BYTES_PER_TOKEN = 3
private const val TOKENS_PER_MESSAGE = 8

/**
 * Estimates the tokens of the prompt of [request] from above.
 *
 * Engines tokenize differently, so the estimate takes the larger of one token for each word and one for each three
 * bytes, and some for the framing of each message.
 */
internal fun estimatePromptTokens(request: JsonObject): Long {
    val messages = request["messages"] as? JsonArray ?: return 0
    return messages.sumOf { TOKENS_PER_MESSAGE + textTokens(it) }
}

private fun textTokens(element: JsonElement): Long =
    when (element) {
        is JsonObject -> element.values.sumOf(::textTokens)
        is JsonArray -> element.sumOf(::textTokens)
        is JsonPrimitive -> tokensOf(element.content)
    }

private fun tokensOf(text: String): Long {
    val bySize = (text.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
    return maxOf(bySize, countWords(text)).toLong()
}

private fun countWords(text: String): Int =
    text.indices.count { !text[it].isWhitespace() && (it == 0 || text[it - 1].isWhitespace()) }
