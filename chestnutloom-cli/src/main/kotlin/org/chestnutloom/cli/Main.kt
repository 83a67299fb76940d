package org.chestnutloom.cli

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.time.systemClock
import kotlin.system.exitProcess

/** Runs the operators' command-line tool. */
public fun main(args: Array<String>) {
    System.setProperty("logback.configurationFile", "logback-cli.xml")
    val parser = InvocationParser(systemClock())
    if (args.isEmpty() || args[0] in HELP_ARGUMENTS) exitWithHelp(parser)
    val invocation = parser.parse(args.asList(), System.getenv()).fold({ exitWithUsageErrors(it) }, { it })
    val code = runBlocking { run(invocation) }
    exitProcess(code.value)
}

private suspend fun run(invocation: Invocation): ExitCode =
    invocation.command.run(invocation.context).fold({ printFailure(invocation, it) }, { printResult(invocation, it) })

private fun printResult(
    invocation: Invocation,
    result: CommandResult,
): ExitCode {
    if (invocation.isJson) println(result.json) else result.lines.forEach { println(it) }
    return result.exitCode
}

private fun printFailure(
    invocation: Invocation,
    failure: CommandFailure,
): ExitCode {
    val json = jsonOf("failure" to failure.javaClass.simpleName, "detail" to failure)
    System.err.println(if (invocation.isJson) Json.encodeToString(json) else failure.toString())
    return failure.exitCode
}

private fun exitWithHelp(parser: InvocationParser): Nothing {
    println("Usage: chestnutloom COMMAND [flags], with --help after a command for its flags")
    parser.commands.forEach { println("    ${it.name.padEnd(COMMAND_NAME_WIDTH)} ${it.description}") }
    exitProcess(ExitCode.OK.value)
}

private fun exitWithUsageErrors(errors: List<UsageError>): Nothing {
    errors.forEach { System.err.println(it) }
    exitProcess(ExitCode.USAGE.value)
}

private const val COMMAND_NAME_WIDTH = 14
private val HELP_ARGUMENTS = setOf("--help", "-h", "help")
