package org.chestnutloom.sidecar.target

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import org.chestnutloom.call.Usage

/** Assembles a plain completion from the chunks of a streamed one. */
internal object CompletionAssembler {
    /** Returns the completion as JSON text; chunks that are not JSON objects are ignored. */
    fun assemble(chunks: List<String>): String {
        val objects = chunks.mapNotNull { objectOf(it) }
        val choices = objects.flatMap { (it["choices"] as? JsonArray).orEmpty() }.filterIsInstance<JsonObject>()
        val completion =
            buildJsonObject {
                firstOf(objects, "id")?.let { put("id", it) }
                put("object", "chat.completion")
                firstOf(objects, "created")?.let { put("created", it) }
                firstOf(objects, "model")?.let { put("model", it) }
                put("choices", assembleChoices(choices))
                lastOf(objects, "usage")?.let { put("usage", it) }
            }
        return completion.toString()
    }

    /** Returns the usage in the last of [texts] that contains one, or zero usage. */
    fun usageOf(texts: List<String>): Usage {
        val usage = texts.asReversed().firstNotNullOfOrNull { objectOf(it)?.get("usage") as? JsonObject }
        val details = usage?.get("prompt_tokens_details") as? JsonObject
        return Usage(
            promptTokens = usage.long("prompt_tokens"),
            cachedTokens = details.long("cached_tokens"),
            completionTokens = usage.long("completion_tokens"),
        )
    }

    private fun assembleChoices(choices: List<JsonObject>): JsonArray =
        buildJsonArray {
            choices.groupBy { it.long("index") }.toSortedMap().forEach { (index, parts) ->
                add(
                    buildJsonObject {
                        put("index", index)
                        put("message", assembleMessage(parts.mapNotNull { it["delta"] as? JsonObject }))
                        put("finish_reason", lastOf(parts, "finish_reason") ?: JsonNull)
                    },
                )
            }
        }

    private fun assembleMessage(deltas: List<JsonObject>): JsonObject =
        buildJsonObject {
            put("role", firstOf(deltas, "role") ?: JsonPrimitive("assistant"))
            put("content", deltas.joinToString("") { it.text("content") })
            val toolCalls = deltas.flatMap { (it["tool_calls"] as? JsonArray).orEmpty() }.filterIsInstance<JsonObject>()
            if (toolCalls.isNotEmpty()) put("tool_calls", assembleToolCalls(toolCalls))
        }

    private fun assembleToolCalls(parts: List<JsonObject>): JsonArray =
        buildJsonArray {
            parts.groupBy { it.long("index") }.toSortedMap().forEach { (_, pieces) ->
                val functions = pieces.mapNotNull { it["function"] as? JsonObject }
                add(
                    buildJsonObject {
                        firstOf(pieces, "id")?.let { put("id", it) }
                        put("type", "function")
                        put(
                            "function",
                            buildJsonObject {
                                put("name", functions.joinToString("") { it.text("name") })
                                put("arguments", functions.joinToString("") { it.text("arguments") })
                            },
                        )
                    },
                )
            }
        }

    private fun firstOf(
        objects: List<JsonObject>,
        name: String,
    ): JsonElement? = objects.firstNotNullOfOrNull { it[name].takeUnless { value -> value is JsonNull } }

    private fun lastOf(
        objects: List<JsonObject>,
        name: String,
    ): JsonElement? = firstOf(objects.asReversed(), name)

    private fun objectOf(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private fun JsonObject?.long(name: String): Long = (this?.get(name) as? JsonPrimitive)?.longOrNull ?: 0

    private fun JsonObject.text(name: String): String = (this[name] as? JsonPrimitive)?.contentOrNull.orEmpty()
}
