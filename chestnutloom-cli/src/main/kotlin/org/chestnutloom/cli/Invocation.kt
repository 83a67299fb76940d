package org.chestnutloom.cli

/** A parsed command line: the command, its context and the output format. */
internal class Invocation(
    val command: Command,
    val context: CommandContext,
    val isJson: Boolean,
)
