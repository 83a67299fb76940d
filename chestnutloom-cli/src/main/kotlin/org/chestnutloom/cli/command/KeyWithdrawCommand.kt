package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.id.KeyId

/** Withdraws an access key permanently. */
internal class KeyWithdrawCommand(
    private val changeService: ChangeService,
) : Command {
    override val name: String = "key withdraw"
    override val description: String = "withdraws a key permanently"
    override val arguments: List<String> = listOf("id")

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val id = KeyId(context.argument("id"))
            val row = context.store.readRow(KeyRecord.rowKey(context.environment, id)).bind()
            if (row == null) raise(CommandFailure.NotFound("key $id in ${context.environment}"))
            val record = context.store.decode(KeyRecord.serializer(), row).bind()
            val version =
                if (record.withdrawnAtMs != null) {
                    context.store
                        .readHead()
                        .bind()
                        .head.keyVersion
                } else {
                    changeService
                        .writer(
                            context,
                        ).writeKey(record.copy(withdrawnAtMs = context.nowMs), row.version)
                        .bind()
                }
            val json = jsonOf("id" to id, "account" to record.account, "key_version" to version)
            val result = CommandResult(listOf("key $id of ${record.account} is withdrawn"), json)
            result.withOutstanding(changeService.awaitKeys(context, version))
        }
}
