package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf

/** Shows the row of a program in the table service. */
internal object ProgramShowCommand : Command {
    override val name: String = "program show"
    override val description: String = "shows the row of a program in the table service"
    override val arguments: List<String> = listOf("id")

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val id = context.argument("id")
            val row = context.store.readRow("program/${context.environment}/$id").bind()
            if (row == null) raise(CommandFailure.NotFound("program $id in ${context.environment}"))
            val state = context.store.decode(JsonElement.serializer(), row).bind()
            CommandResult(listOf("program $id", state.toString()), jsonOf("id" to id, "row" to state))
        }
}
