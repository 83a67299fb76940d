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

/** Reads the gateways' answers. */
internal object AnswerParser {
    private const val DATA = "data: "
    private const val STREAM_END = "[DONE]"
    private const val ERROR_EVENT = "event: error"

    /** Reads a JSON answer to a turn. */
    fun parseWhole(body: String): LoadAnswer =
        guarded(body) {
            val json = Json.parseToJsonElement(body).jsonObject
            json["error"]?.let { refusal(it.jsonObject) } ?: LoadAnswer.Whole(textOf(json["body"]))
        }

    /** Reads a streamed answer to a model turn. */
    fun parseStream(body: String): LoadAnswer =
        guarded(body) {
            val lines = body.lineSequence().toList()
            val error = lines.indexOf(ERROR_EVENT)
            val data = lines.filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
            when {
                error >= 0 -> errorEvent(lines.drop(error))
                data.lastOrNull() != STREAM_END -> LoadAnswer.Broken("the stream has no end")
                else -> LoadAnswer.Whole(data.dropLast(1).joinToString("") { textOf(Json.parseToJsonElement(it)) })
            }
        }

    /** Returns the value of string field [name] of a JSON answer, or null. */
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

    private fun errorEvent(lines: List<String>): LoadAnswer {
        val data = lines.first { it.startsWith(DATA) }.removePrefix(DATA)
        return refusal(
            Json
                .parseToJsonElement(data)
                .jsonObject
                .getValue("error")
                .jsonObject,
        )
    }

    private fun refusal(error: JsonObject): LoadAnswer =
        LoadAnswer.Refused(
            code = error["code"]?.jsonPrimitive?.contentOrNull.orEmpty(),
            execution = error["execution"]?.jsonPrimitive?.contentOrNull.orEmpty(),
            retryAfterMs = error["retry_after_ms"]?.jsonPrimitive?.longOrNull,
        )

    /** Returns the text of a chat completion or chunk, and any other JSON as it is. */
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

    private fun guarded(
        body: String,
        parse: () -> LoadAnswer,
    ): LoadAnswer =
        try {
            parse()
        } catch (_: SerializationException) {
            LoadAnswer.Broken("not an answer: ${body.take(SHOWN_CHARACTERS)}")
        } catch (_: IllegalArgumentException) {
            LoadAnswer.Broken("not an answer: ${body.take(SHOWN_CHARACTERS)}")
        } catch (_: NoSuchElementException) {
            LoadAnswer.Broken("not an answer: ${body.take(SHOWN_CHARACTERS)}")
        }

    private const val SHOWN_CHARACTERS = 200
}
