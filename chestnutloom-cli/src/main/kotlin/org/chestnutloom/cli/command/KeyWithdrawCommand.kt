package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandCall
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.config.KeyRecord
import org.chestnutloom.id.KeyId

/** Withdraws an access key for good. */
internal class KeyWithdrawCommand(
    private val changes: Changes,
) : Command {
    override val name: String = "key withdraw"
    override val description: String = "withdraws a key for good"
    override val arguments: List<String> = listOf("id")

    override suspend fun run(call: CommandCall): Either<CommandFailure, CommandResult> =
        either {
            val id = KeyId(call.argument("id"))
            val row = call.store.row(KeyRecord.rowKey(call.environment, id)).bind()
            if (row == null) raise(CommandFailure.NotFound("key $id in ${call.environment}"))
            val record = call.store.decode(KeyRecord.serializer(), row).bind()
            val version =
                if (record.withdrawnAtMs != null) {
                    call.store
                        .head()
                        .bind()
                        .head.keyVersion
                } else {
                    changes.writer(call).writeKey(record.copy(withdrawnAtMs = call.nowMs), row.version).bind()
                }
            val json = jsonOf("id" to id, "account" to record.account, "key_version" to version)
            val result = CommandResult(listOf("key $id of ${record.account} is withdrawn"), json)
            result.withOutstanding(changes.awaitKeys(call, version))
        }
}
