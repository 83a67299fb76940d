package org.chestnutloom.integration.fleet

/** Thrown when the command-line tool fails. */
class CommandFailedException(
    result: CommandResult,
) : Exception("exit code ${result.exitCode}: ${result.output}")
