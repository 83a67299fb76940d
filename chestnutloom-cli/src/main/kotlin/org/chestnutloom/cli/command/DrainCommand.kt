package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.store.DrainRecord
import org.chestnutloom.cli.store.rowJson
import org.chestnutloom.cli.store.toCommandFailure
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.id.TargetId
import org.chestnutloom.store.Condition
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.transactAndResolve

/** Stops new calls to a target, or resumes them. */
internal object DrainCommand : Command {
    override val name: String = "drain"
    override val description: String = "stops new calls to a target, or resumes them with --undo"
    override val arguments: List<String> = listOf("target")
    override val flags: List<Flag> = listOf(Flag("undo", "resumes new calls", isSwitch = true))

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val target = context.argument("target")
            val isUndo = context.switch("undo")
            if (!isUndo && TargetId(target) !in currentSettings(context).bind().targets) {
                raise(CommandFailure.NotFound("target $target in ${context.environment}"))
            }
            write(context, DrainRecord.rowKey(context.environment, target), isUndo).bind()
            val line = if (isUndo) "target $target receives new calls again" else "target $target receives no new calls"
            CommandResult(listOf(line), jsonOf("target" to target, "drained" to !isUndo))
        }

    /** Writes or removes the row if it is not already in the requested state. */
    private suspend fun write(
        context: CommandContext,
        rowKey: String,
        isUndo: Boolean,
    ): Either<CommandFailure, Unit> =
        either {
            val row = context.store.readRow(rowKey).bind()
            if ((row == null) == isUndo) return@either
            val record = DrainRecord(context.author, context.nowMs)
            val value = if (isUndo) null else rowJson.encodeToString(DrainRecord.serializer(), record)
            val condition = Condition(rowKey, row?.version ?: Condition.ABSENT)
            val transaction = Transaction(listOf(condition), listOf(RowWrite(rowKey, value)))
            context.store.table
                .transactAndResolve(transaction)
                .mapLeft { it.toCommandFailure() }
                .bind()
        }
}
