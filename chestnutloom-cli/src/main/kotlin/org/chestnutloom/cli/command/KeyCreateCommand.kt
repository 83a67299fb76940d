package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.AccessKey
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.store.Condition

/** Creates an access key and shows its secret, which is not stored. */
internal class KeyCreateCommand(
    private val changeService: ChangeService,
) : Command {
    override val name: String = "key create"
    override val description: String = "creates a key for a client account and shows its secret once"
    override val flags: List<Flag> = listOf(Flag("account", "client account that the key is for"))

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val account =
                ClientAccountId(
                    context.optional("account") ?: raise(CommandFailure.NotFound("value for the flag --account")),
                )
            if (account !in
                currentSettings(context).bind().accounts
            ) {
                raise(CommandFailure.NotFound("client account $account"))
            }
            val key = AccessKey.generate()
            val record = key.toRecord(account, context.nowMs)
            val version =
                changeService
                    .writer(context)
                    .writeKey(record, Condition.ABSENT)
                    .mapLeft { withKeyId(it, key) }
                    .bind()
            createdResult(key, account, version).withOutstanding(changeService.awaitKeys(context, version))
        }

    private fun createdResult(
        key: AccessKey,
        account: ClientAccountId,
        version: Long,
    ): CommandResult {
        val lines = listOf("key ${key.id} for $account, shown only once: ${key.bearer()}")
        val json = jsonOf("id" to key.id, "key" to key.bearer(), "account" to account, "key_version" to version)
        return CommandResult(lines, json)
    }

    private fun withKeyId(
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
