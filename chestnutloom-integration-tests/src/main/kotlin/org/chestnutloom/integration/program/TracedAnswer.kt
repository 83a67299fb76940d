package org.chestnutloom.integration.program

import kotlinx.serialization.json.JsonObject
import org.chestnutloom.integration.caller.CallerAnswer

/** One request of a program and what came back. */
data class TracedAnswer(
    val path: String,
    val body: JsonObject?,
    val answer: CallerAnswer,
)
