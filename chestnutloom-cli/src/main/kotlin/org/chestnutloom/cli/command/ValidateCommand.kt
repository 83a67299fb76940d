package org.chestnutloom.cli.command

import arrow.core.Either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.readDocument
import org.chestnutloom.config.digest

/** Validates a document without accessing an environment. */
internal object ValidateCommand : Command {
    override val name: String = "validate"
    override val description: String = "validates a document and lists all faults with path and line"
    override val arguments: List<String> = listOf("file")

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        readDocument(context.argument("file")).map { document ->
            val digest = digest(document)
            CommandResult(listOf("valid, digest $digest"), jsonOf("valid" to true, "digest" to digest))
        }
}
