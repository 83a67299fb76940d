package org.chestnutloom.integration.fleet

/** The operators' tool ended with a failure. */
class CommandFailedException(
    result: CommandResult,
) : Exception("exit code ${result.exitCode}: ${result.output}")
