package org.chestnutloom.cli

import kotlinx.serialization.json.JsonElement

/** What a command prints, as lines for people and as JSON for programs. */
internal data class CommandResult(
    val lines: List<String>,
    val json: JsonElement,
    val exitCode: ExitCode = ExitCode.OK,
)
