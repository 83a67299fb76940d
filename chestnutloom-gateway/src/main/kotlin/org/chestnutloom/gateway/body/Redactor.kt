package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import java.net.URLDecoder

private const val REDACTED_TEXT = "[redacted]"
private const val MIN_SECRET_LENGTH = 16

/** Replaces a caller's access key in all data that is passed on to other components. */
internal class Redactor(
    private val mechanisms: Mechanisms,
) {
    /** Returns [body] with the access key in [bearer] replaced, in string values and in field names. */
    fun redact(
        body: JsonElement,
        bearer: String?,
    ): JsonElement {
        val secrets = secretsOf(bearer)
        return if (secrets.isEmpty()) body else redactElement(body, secrets)
    }

    /** Returns [text] with the access key in [bearer] replaced; if it is percent-encoded, all of [text] is replaced. */
    fun redact(
        text: String,
        bearer: String?,
    ): String = redactText(text, secretsOf(bearer))

    private fun secretsOf(bearer: String?): List<String> {
        if (bearer == null || !mechanisms.has(Mechanism.KEY_STRIPPING)) return emptyList()
        val secret = bearer.substringAfterLast('_')
        return listOf(bearer, secret).filter { it.length >= MIN_SECRET_LENGTH }.distinct()
    }

    private fun redactElement(
        element: JsonElement,
        secrets: List<String>,
    ): JsonElement =
        when (element) {
            is JsonObject -> redactObject(element, secrets)
            is JsonArray -> JsonArray(element.map { redactElement(it, secrets) })
            is JsonPrimitive -> redactPrimitive(element, secrets)
        }

    private fun redactObject(
        element: JsonObject,
        secrets: List<String>,
    ): JsonObject =
        JsonObject(
            element.entries.associate { (name, value) ->
                redactText(name, secrets) to
                    redactElement(value, secrets)
            },
        )

    private fun redactPrimitive(
        element: JsonPrimitive,
        secrets: List<String>,
    ): JsonPrimitive = if (element.isString) JsonPrimitive(redactText(element.content, secrets)) else element

    private fun redactText(
        text: String,
        secrets: List<String>,
    ): String {
        val redacted = secrets.fold(text) { result, secret -> result.replace(secret, REDACTED_TEXT, ignoreCase = true) }
        if ('%' !in redacted || secrets.isEmpty()) return redacted
        val decoded = percentDecoded(redacted) ?: return redacted
        return if (secrets.any { decoded.contains(it, ignoreCase = true) }) REDACTED_TEXT else redacted
    }

    private fun percentDecoded(text: String): String? =
        try {
            URLDecoder.decode(text, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            null
        }
}
