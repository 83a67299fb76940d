package org.chestnutloom.integration.program

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.chestnutloom.integration.caller.CallerResponse

/** Extracts the generated text from responses. */
object StreamText {
    /** Returns the text of [response], or null if it is an error or an incomplete stream. */
    fun of(response: CallerResponse.Complete): String? {
        if (response.error != null || response.status >= FIRST_ERROR_STATUS) return null
        return if (response.isStream) streamed(response.events) else plain(response)
    }

    private fun streamed(events: List<String>): String? {
        if (events.lastOrNull() != "[DONE]") return null
        return events.dropLast(1).joinToString("") { deltaOf(it) }
    }

    private fun deltaOf(event: String): String =
        Json
            .parseToJsonElement(event)
            .jsonObject["choices"]
            ?.jsonArray
            ?.firstOrNull()
            ?.jsonObject
            ?.get("delta")
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.contentOrNull
            .orEmpty()

    private fun plain(response: CallerResponse.Complete): String? {
        val json = response.json()
        val completion = json["body"]?.jsonObject ?: json
        val choice = completion["choices"]?.jsonArray?.firstOrNull()?.jsonObject
        val message = choice?.get("message")?.jsonObject
        return message?.get("content")?.jsonPrimitive?.contentOrNull
    }

    private const val FIRST_ERROR_STATUS = 400
}
