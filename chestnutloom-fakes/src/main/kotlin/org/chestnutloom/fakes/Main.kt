package org.chestnutloom.fakes

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.chestnutloom.fakes.command.engineCommand
import org.chestnutloom.fakes.command.experimentCommand
import org.chestnutloom.fakes.command.loadCommand
import org.chestnutloom.fakes.command.objectsCommand
import org.chestnutloom.fakes.command.proxyCommand
import org.chestnutloom.fakes.command.tableCommand
import org.chestnutloom.fakes.command.toolCommand
import org.chestnutloom.fakes.command.vmsCommand

/** Runs the stand-in or test tool whose subcommand is the first argument. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("chestnutloom-fakes", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        tableCommand(),
        objectsCommand(),
        vmsCommand(),
        toolCommand(),
        engineCommand(),
        proxyCommand(),
        loadCommand(),
        experimentCommand(),
    )
    parser.parse(args)
}
