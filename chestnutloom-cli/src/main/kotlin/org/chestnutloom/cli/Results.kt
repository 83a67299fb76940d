package org.chestnutloom.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.config.DocumentChange

/** Returns a JSON object of [fields], whose values are null, JSON, strings, numbers, booleans or lists of these. */
internal fun jsonOf(vararg fields: Pair<String, Any?>): JsonObject =
    JsonObject(fields.associate { (key, value) -> key to jsonValue(value) })

private fun jsonValue(value: Any?): JsonElement =
    when (value) {
        null -> JsonNull
        is JsonElement -> value
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        is List<*> -> JsonArray(value.map { jsonValue(it) })
        else -> JsonPrimitive(value.toString())
    }

/** Formats a document change as a line of text. */
internal fun lineOf(change: DocumentChange): String =
    "${change.path}: ${change.before ?: "none"} -> ${change.after ?: "none"}"

/** Formats a document change as JSON. */
internal fun jsonOf(change: DocumentChange): JsonObject =
    jsonOf("path" to change.path, "before" to change.before, "after" to change.after)

/** Adds the [outstanding] gateways to the result and sets the exit code accordingly. */
internal fun CommandResult.withOutstanding(outstanding: List<String>?): CommandResult {
    val fields = (json as JsonObject) + jsonOf("outstanding" to outstanding)
    val line =
        when {
            outstanding == null -> "accepted, but the gateways' rows cannot be read"
            outstanding.isEmpty() -> "applied at every gateway"
            else -> "accepted, but not yet applied at ${outstanding.joinToString()}"
        }
    val code = if (outstanding?.isEmpty() == true) exitCode else ExitCode.OUTSTANDING
    return CommandResult(lines + line, JsonObject(fields), code)
}
