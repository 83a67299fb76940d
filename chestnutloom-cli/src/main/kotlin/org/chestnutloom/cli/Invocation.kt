package org.chestnutloom.cli

/** A command that was found, with the call to run it with and how to print its result. */
internal class Invocation(
    val command: Command,
    val context: CommandContext,
    val isJson: Boolean,
)
