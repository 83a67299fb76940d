package org.chestnutloom.integration.fleet

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** How one run of the operators' tool ended. */
data class CommandResult(
    val exitCode: Int,
    val output: String,
) {
    /** The JSON object that the tool printed. */
    fun json(): JsonObject = Json.parseToJsonElement(output.substring(output.indexOf('{'))).jsonObject

    /** Returns this result, or throws [CommandFailedException] unless the tool succeeded. */
    fun orThrow(): CommandResult = if (exitCode in ACCEPTED) this else throw CommandFailedException(this)

    private companion object {
        const val OUTSTANDING = 5
        val ACCEPTED = setOf(0, OUTSTANDING)
    }
}
