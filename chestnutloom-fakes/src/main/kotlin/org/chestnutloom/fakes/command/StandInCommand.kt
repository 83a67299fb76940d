package org.chestnutloom.fakes.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.chestnutloom.fakes.StandIn

/** A command that runs one stand-in until the process ends. */
@OptIn(ExperimentalCli::class)
internal abstract class StandInCommand(
    name: String,
    description: String,
    portFlag: String = "port",
) : Subcommand(name, description) {
    protected val port: Int by option(
        ArgType.Int,
        portFlag,
        description = "Port to listen on; 0 selects a free port",
    ).default(0)

    protected abstract fun standIn(): StandIn

    override fun execute() {
        limitLoggingToWarnings()
        val standIn = standIn()
        runBlocking {
            standIn.start()
            println("event=listening role=$name port=${standIn.port}")
            awaitCancellation()
        }
    }
}
