package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.lineOf
import org.chestnutloom.cli.readDocument
import org.chestnutloom.config.diffDocuments

/** Compares a document with the one in the environment. */
internal object DiffCommand : Command {
    override val name: String = "diff"
    override val description: String = "lists the settings that applying a document would change"
    override val arguments: List<String> = listOf("file")

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val document = readDocument(context.argument("file")).bind()
            val current = context.store.readNewest().bind()
            val changes =
                diffDocuments(
                    current?.document.orEmpty(),
                    document,
                ).mapLeft { CommandFailure.FaultyDocument(it) }.bind()
            val version = current?.version ?: 0
            val lines = changes.map { lineOf(it) }.ifEmpty { listOf("no setting differs from version $version") }
            CommandResult(lines, jsonOf("version" to version, "changes" to changes.map { jsonOf(it) }))
        }
}
