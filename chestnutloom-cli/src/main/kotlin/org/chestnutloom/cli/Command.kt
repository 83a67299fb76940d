package org.chestnutloom.cli

import arrow.core.Either
import org.chestnutloom.common.flag.Flag

/** One command of the tool. */
internal interface Command {
    /** The words that select the command, such as `key create`. */
    val name: String

    val description: String

    /** Flags in addition to those that all commands share. */
    val flags: List<Flag>
        get() = emptyList()

    /** Names of the required arguments. */
    val arguments: List<String>
        get() = emptyList()

    suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult>
}
