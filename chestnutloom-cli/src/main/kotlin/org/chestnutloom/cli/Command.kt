package org.chestnutloom.cli

import arrow.core.Either
import org.chestnutloom.common.flag.Flag

/** One command of the tool. */
internal interface Command {
    /** The words that name the command, such as `key create`. */
    val name: String

    val description: String

    /** Flags besides those of every command. */
    val flags: List<Flag>
        get() = emptyList()

    /** Names of the required arguments. */
    val arguments: List<String>
        get() = emptyList()

    suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult>
}
