package org.chestnutloom.cli

import kotlinx.serialization.json.JsonElement

/** The output of a command, as text lines and as JSON. */
internal data class CommandResult(
    val lines: List<String>,
    val json: JsonElement,
    val exitCode: ExitCode = ExitCode.OK,
)
