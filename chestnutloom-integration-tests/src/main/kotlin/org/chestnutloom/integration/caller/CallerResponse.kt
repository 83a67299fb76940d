package org.chestnutloom.integration.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** The result of one HTTP request to a gateway. */
sealed interface CallerResponse {
    /** The connection failed before the response was complete. */
    data class Aborted(
        val detail: String,
    ) : CallerResponse

    /** A complete HTTP response. */
    data class Complete(
        val status: Int,
        val requestId: String?,
        val contentType: String,
        val body: String,
    ) : CallerResponse {
        /** Whether the response is a stream of server-sent events. */
        val isStream: Boolean
            get() = contentType.startsWith("text/event-stream")

        /** The data of the server-sent events, in order. */
        val events: List<String>
            get() =
                body
                    .lineSequence()
                    .filter { it.startsWith("data: ") }
                    .map { it.removePrefix("data: ") }
                    .toList()

        /** Whether the response is a stream without its end marker, with or without a typed error. */
        val isIncompleteStream: Boolean
            get() = isStream && events.lastOrNull() != "[DONE]"

        /** The typed error, or null if the response has none. */
        val error: CallerError?
            get() = errorText()?.let(::parseError)

        /** Parses the body as a JSON object. */
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
