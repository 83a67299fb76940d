package org.chestnutloom.cli

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.time.systemClock
import kotlin.system.exitProcess

/** Runs the command-line tool of operators. */
public fun main(args: Array<String>) {
    System.setProperty("logback.configurationFile", "logback-cli.xml")
    val parser = InvocationParser(systemClock())
    if (args.isEmpty() || args[0] in HELP) endWithHelp(parser)
    val invocation = parser.parse(args.asList(), System.getenv()).fold({ endWithUsage(it) }, { it })
    val code = runBlocking { run(invocation) }
    exitProcess(code.value)
}

private suspend fun run(invocation: Invocation): ExitCode =
    invocation.command.run(invocation.call).fold({ report(invocation, it) }, { print(invocation, it) })

private fun print(
    invocation: Invocation,
    result: CommandResult,
): ExitCode {
    if (invocation.isJson) println(result.json) else result.lines.forEach { println(it) }
    return result.exitCode
}

private fun report(
    invocation: Invocation,
    failure: CommandFailure,
): ExitCode {
    val json = jsonOf("failure" to failure.javaClass.simpleName, "detail" to failure)
    System.err.println(if (invocation.isJson) Json.encodeToString(json) else failure.toString())
    return failure.exitCode
}

private fun endWithHelp(parser: InvocationParser): Nothing {
    println("Usage: chestnutloom COMMAND [flags], with --help after a command for its flags")
    parser.commands.forEach { println("    ${it.name.padEnd(NAME_WIDTH)} ${it.description}") }
    exitProcess(ExitCode.OK.value)
}

private fun endWithUsage(faults: List<UsageError>): Nothing {
    faults.forEach { System.err.println(it) }
    exitProcess(ExitCode.USAGE.value)
}

private const val NAME_WIDTH = 14
private val HELP = setOf("--help", "-h", "help")
