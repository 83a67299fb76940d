package org.chestnutloom.integration.fleet

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** The exit code and output of the command-line tool. */
data class CommandResult(
    val exitCode: Int,
    val output: String,
) {
    /** Parses the JSON object in the output. */
    fun json(): JsonObject = Json.parseToJsonElement(output.substring(output.indexOf('{'))).jsonObject

    /** Returns this result, or throws [CommandFailedException] unless the tool succeeded. */
    fun orThrow(): CommandResult = if (exitCode in ACCEPTED) this else throw CommandFailedException(this)

    private companion object {
        const val OUTSTANDING = 5
        val ACCEPTED = setOf(0, OUTSTANDING)
    }
}
