package org.chestnutloom.integration.program

import kotlinx.serialization.json.JsonObject
import org.chestnutloom.integration.caller.CallerResponse

/** One request of a program and its result. */
data class RecordedExchange(
    val path: String,
    val body: JsonObject?,
    val response: CallerResponse,
)
