package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandCall
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.AccessKey
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.store.Condition

/** Creates an access key, and shows its secret this once. */
internal class KeyCreateCommand(
    private val changes: Changes,
) : Command {
    override val name: String = "key create"
    override val description: String = "creates a key for a client account and shows its secret, this once"
    override val flags: List<Flag> = listOf(Flag("account", "client account that the key is for"))

    override suspend fun run(call: CommandCall): Either<CommandFailure, CommandResult> =
        either {
            val account = ClientAccountId(call.optional("account") ?: raise(CommandFailure.NotFound("--account given")))
            if (account !in
                currentSettings(call).bind().accounts
            ) {
                raise(CommandFailure.NotFound("client account $account"))
            }
            val key = AccessKey.generate()
            val record = key.toRecord(account, call.nowMs)
            val version =
                changes
                    .writer(call)
                    .writeKey(record, Condition.ABSENT)
                    .mapLeft { naming(it, key) }
                    .bind()
            created(key, account, version).withOutstanding(changes.awaitKeys(call, version))
        }

    private fun created(
        key: AccessKey,
        account: ClientAccountId,
        version: Long,
    ): CommandResult {
        val lines = listOf("key ${key.id} for $account, shown only now: ${key.bearer()}")
        val json = jsonOf("id" to key.id, "key" to key.bearer(), "account" to account, "key_version" to version)
        return CommandResult(lines, json)
    }

    private fun naming(
        failure: CommandFailure,
        key: AccessKey,
    ): CommandFailure =
        if (failure is CommandFailure.OutcomeUnknown) {
            failure.copy(
                detail = "key ${key.id}, ${failure.detail}",
            )
        } else {
            failure
        }
}
