package org.chestnutloom.fakes.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.tool.ToolSettings
import org.chestnutloom.fakes.tool.toolStandIn
import java.nio.file.Path

/** Returns the command that runs a stand-in for a tool service. */
@OptIn(ExperimentalCli::class)
internal fun toolCommand(): Subcommand = ToolCommand()

@OptIn(ExperimentalCli::class)
private class ToolCommand : StandInCommand("tool", "Runs a stand-in for a tool service") {
    private val logFile by option(ArgType.String, "log-file", description = "File that the request log is appended to")
    private val maxBodyCharacters by
        option(
            ArgType.Int,
            "log-body-characters",
            description = "Maximum number of characters to log of each body",
        ).default(Int.MAX_VALUE)

    override fun standIn(): StandIn = toolStandIn(ToolSettings(port, logFile?.let(Path::of), maxBodyCharacters))
}
