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

    /**
     * Returns this result, or throws [CommandFailedException] if the tool failed.
     *
     * A change that some gateways have not applied yet counts as success.
     */
    fun orThrow(): CommandResult = if (exitCode in ACCEPTED_EXIT_CODES) this else throw CommandFailedException(this)

    private companion object {
        /** The change was accepted, but not every gateway has applied it yet. */
        const val EXIT_OUTSTANDING = 5
        val ACCEPTED_EXIT_CODES = setOf(0, EXIT_OUTSTANDING)
    }
}
