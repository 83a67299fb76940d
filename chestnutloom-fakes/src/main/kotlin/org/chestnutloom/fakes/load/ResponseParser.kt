package org.chestnutloom.fakes.load

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Parses the responses of the gateways. */
internal object ResponseParser {
    private const val DATA = "data: "
    private const val STREAM_END = "[DONE]"
    private const val ERROR_EVENT = "event: error"

    /** Parses the JSON response to a request. */
    fun parseJson(body: String): LoadResponse =
        parseOrFail(body) {
            val json = Json.parseToJsonElement(body).jsonObject
            json["error"]?.let { refusal(it.jsonObject) } ?: LoadResponse.Complete(textOf(json["body"]))
        }

    /** Parses the event stream that responds to a model turn. */
    fun parseStream(body: String): LoadResponse =
        parseOrFail(body) {
            val lines = body.lineSequence().toList()
            val error = lines.indexOf(ERROR_EVENT)
            val data = lines.filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
            when {
                error >= 0 -> errorEvent(lines.drop(error))
                data.lastOrNull() != STREAM_END -> LoadResponse.Failed("the stream ended without [DONE]")
                else -> LoadResponse.Complete(data.dropLast(1).joinToString("") { textOf(Json.parseToJsonElement(it)) })
            }
        }

    /** Returns the string field [name] of a JSON response, or null if there is none. */
    fun field(
        body: String,
        name: String,
    ): String? =
        try {
            Json
                .parseToJsonElement(body)
                .jsonObject[name]
                ?.jsonPrimitive
                ?.contentOrNull
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun errorEvent(lines: List<String>): LoadResponse {
        val data = lines.first { it.startsWith(DATA) }.removePrefix(DATA)
        return refusal(
            Json
                .parseToJsonElement(data)
                .jsonObject
                .getValue("error")
                .jsonObject,
        )
    }

    private fun refusal(error: JsonObject): LoadResponse =
        LoadResponse.Refused(
            code = error["code"]?.jsonPrimitive?.contentOrNull.orEmpty(),
            execution = error["execution"]?.jsonPrimitive?.contentOrNull.orEmpty(),
            retryAfterMs = error["retry_after_ms"]?.jsonPrimitive?.longOrNull,
        )

    /** Returns the text of a chat completion or chunk; any other JSON is returned unchanged. */
    private fun textOf(body: JsonElement?): String {
        val choice =
            (body as? JsonObject)
                ?.get("choices")
                ?.jsonArray
                ?.firstOrNull()
                ?.jsonObject
        if (choice == null) return body?.toString().orEmpty()
        val message = choice["message"] ?: choice["delta"]
        return message
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.contentOrNull
            .orEmpty()
    }

    private fun parseOrFail(
        body: String,
        parse: () -> LoadResponse,
    ): LoadResponse =
        try {
            parse()
        } catch (_: SerializationException) {
            LoadResponse.Failed("malformed response: ${body.take(MAX_QUOTED_CHARACTERS)}")
        } catch (_: IllegalArgumentException) {
            LoadResponse.Failed("malformed response: ${body.take(MAX_QUOTED_CHARACTERS)}")
        } catch (_: NoSuchElementException) {
            LoadResponse.Failed("malformed response: ${body.take(MAX_QUOTED_CHARACTERS)}")
        }

    private const val MAX_QUOTED_CHARACTERS = 200
}
