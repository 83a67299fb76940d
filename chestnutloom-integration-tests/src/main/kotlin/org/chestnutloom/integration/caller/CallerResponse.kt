package org.chestnutloom.integration.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** What a caller got for one request. */
sealed interface CallerResponse {
    /** The connection failed before the answer was whole. */
    data class Aborted(
        val detail: String,
    ) : CallerResponse

    /** A whole HTTP answer. */
    data class Complete(
        val status: Int,
        val requestId: String?,
        val contentType: String,
        val body: String,
    ) : CallerResponse {
        /** Whether the answer is a stream of server-sent events. */
        val isStream: Boolean
            get() = contentType.startsWith("text/event-stream")

        /** The payloads of the stream's data events, in order. */
        val events: List<String>
            get() =
                body
                    .lineSequence()
                    .filter { it.startsWith("data: ") }
                    .map { it.removePrefix("data: ") }
                    .toList()

        /** Whether the answer is a stream that ended before its end marker, with or without a typed error. */
        val isIncompleteStream: Boolean
            get() = isStream && events.lastOrNull() != "[DONE]"

        /** The typed error, or null when the answer is none. */
        val error: CallerError?
            get() = errorText()?.let(::parseError)

        /** The body as a JSON object; throws when it is none. */
        fun json(): JsonObject = Json.parseToJsonElement(body).jsonObject

        private fun errorText(): String? {
            if (!isStream) return body.takeIf { status >= FIRST_ERROR_STATUS }
            val errorAt = body.indexOf("event: error")
            if (errorAt < 0) return null
            return body
                .substring(errorAt)
                .lineSequence()
                .first { it.startsWith("data: ") }
                .removePrefix("data: ")
        }

        private fun parseError(text: String): CallerError? {
            val error = runCatching { Json.parseToJsonElement(text).jsonObject["error"]?.jsonObject }.getOrNull()
            if (error == null) return null
            return CallerError(
                code = error["code"]?.jsonPrimitive?.contentOrNull.orEmpty(),
                execution = error["execution"]?.jsonPrimitive?.contentOrNull.orEmpty(),
                message = error["message"]?.jsonPrimitive?.contentOrNull.orEmpty(),
            )
        }

        private companion object {
            const val FIRST_ERROR_STATUS = 400
        }
    }
}
