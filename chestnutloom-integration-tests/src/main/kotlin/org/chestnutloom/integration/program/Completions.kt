package org.chestnutloom.integration.program

import io.ktor.http.HttpMethod
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.chestnutloom.integration.caller.CallerClient
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.TEST_MODEL

/** Returns a chat completion request with one user [message]. */
fun completionBody(
    message: String,
    maxTokens: Int,
    stream: Boolean,
): JsonObject =
    buildJsonObject {
        put("model", TEST_MODEL)
        put("stream", stream)
        put("max_tokens", maxTokens)
        put("messages", buildJsonArray { add(userMessage(message)) })
    }

/** Sends the chat completion request [body] to [url], authenticated by [key] if it is not null. */
suspend fun CallerClient.complete(
    url: String,
    key: String?,
    body: JsonObject,
): CallerResponse = send(url, HttpMethod.Post, "/v1/chat/completions", key, body)

private fun userMessage(content: String): JsonObject =
    buildJsonObject {
        put("role", "user")
        put("content", content)
    }
