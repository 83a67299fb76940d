package org.chestnutloom.gateway.body

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.ModelSettings
import org.chestnutloom.id.ModelName

private val methods = setOf("GET", "POST", "PUT", "PATCH", "DELETE")
private val pathPattern = Regex("/[!-~]{0,2047}")

/** Parses the body of a turn and validates it against [settings]. */
internal fun parseTurnBody(
    body: JsonObject,
    settings: EnvironmentSettings,
): Either<Refusal, TurnBody> =
    either {
        when (val kind = body.text("kind")) {
            "model" -> parseModel(body, settings)
            "tool" -> parseTool(body, settings)
            else -> raise(badRequest("kind must be model or tool, not ${kind.orEmpty()}."))
        }
    }

/** Wraps the chat-completions [request] as the body of a model turn. */
internal fun modelTurnBody(request: JsonObject): JsonObject =
    buildJsonObject {
        put("kind", "model")
        put("request", request)
    }

private fun Raise<Refusal>.parseModel(
    body: JsonObject,
    settings: EnvironmentSettings,
): TurnBody.Model {
    val request = body["request"] as? JsonObject
    ensureNotNull(request) { badRequest("request must be a chat-completions object.") }
    val name = ensureNotNull(request.text("model")) { badRequest("model must be a string.") }
    val model = ensureNotNull(settings.models[ModelName(name)]) { unknownModel() }
    val messages = request["messages"] as? JsonArray
    ensure(messages != null && messages.isNotEmpty() && messages.all { it is JsonObject }) {
        badRequest("messages must be a list of message objects.")
    }
    val stream = optionalBoolean(request, "stream") ?: false
    val maxTokens = maxCompletionTokens(request, model)
    val engineRequest = JsonObject(request - "max_completion_tokens" + ("max_tokens" to JsonPrimitive(maxTokens)))
    return TurnBody.Model(
        contentHash(body),
        stream,
        ModelName(name),
        engineRequest,
        estimatePromptTokens(request),
        maxTokens,
    )
}

private fun Raise<Refusal>.maxCompletionTokens(
    request: JsonObject,
    model: ModelSettings,
): Long {
    val field = request["max_tokens"] ?: request["max_completion_tokens"]
    if (field == null || field is JsonNull) return model.maxCompletionTokens
    val tokens = (field as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toLongOrNull()
    ensure(tokens != null && tokens in 1..model.maxCompletionTokens) {
        badRequest("max_tokens must be between 1 and ${model.maxCompletionTokens}.")
    }
    return tokens
}

private fun Raise<Refusal>.parseTool(
    body: JsonObject,
    settings: EnvironmentSettings,
): TurnBody.Tool {
    val name = ensureNotNull(body.text("service")) { badRequest("service must be a string.") }
    val service = ensureNotNull(settings.services[name]) { unknownService() }
    val method = body.text("method") ?: "POST"
    ensure(method in methods) { badRequest("method must be one of ${methods.joinToString()}.") }
    val path = body.text("path") ?: "/"
    ensure(pathPattern.matches(path)) {
        badRequest("path must start with / and be at most 2048 characters of printable ASCII without spaces.")
    }
    val idempotent = optionalBoolean(body, "idempotent") ?: service.idempotent
    return TurnBody.Tool(contentHash(body), idempotent, name, method, path, body["body"])
}

private fun Raise<Refusal>.optionalBoolean(
    body: JsonObject,
    name: String,
): Boolean? {
    val field = body[name]
    if (field == null || field is JsonNull) return null
    val text = (field as? JsonPrimitive)?.takeUnless { it.isString }?.content
    return ensureNotNull(text?.toBooleanStrictOrNull()) { badRequest("$name must be true or false.") }
}

private fun unknownModel() =
    Refusal(RefusalCode.UNKNOWN_MODEL, Execution.NOT_RUN, "The environment does not define this model.")

private fun unknownService() =
    Refusal(RefusalCode.UNKNOWN_SERVICE, Execution.NOT_RUN, "The environment does not define this service.")

/** Returns a `bad_request` refusal with execution `not_run`. */
internal fun badRequest(detail: String): Refusal = Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, detail)

/** Returns the string field [name], or null if it is missing or not a string. */
internal fun JsonObject.text(name: String): String? = this[name].stringOrNull()

private fun JsonElement?.stringOrNull(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content
