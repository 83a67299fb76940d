package org.chestnutloom.gateway.http

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.chestnutloom.call.Refusal

/** Returns the JSON body of an error response for [refusal]. */
internal fun errorBody(
    refusal: Refusal,
    requestId: String,
): JsonObject =
    buildJsonObject {
        putJsonObject("error") {
            put("code", refusal.code.wireName)
            put("message", refusal.detail)
            put("request_id", requestId)
            put("execution", refusal.execution.name.lowercase())
            refusal.retryAfterMs?.let { put("retry_after_ms", it) }
        }
    }
