package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.config.KeyRecord

/** Lists the client accounts of the environment. */
internal object AccountListCommand : Command {
    override val name: String = "account list"
    override val description: String = "lists the client accounts with their rates and number of keys"

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val settings = currentSettings(context).bind()
            val keys = context.store.readAll(KeyRecord.prefix(context.environment), KeyRecord.serializer()).bind()
            val active = keys.filter { it.withdrawnAtMs == null }.groupingBy { it.account }.eachCount()
            val accounts = settings.accounts.entries.sortedBy { it.key.value }
            val lines =
                accounts.map { (id, account) ->
                    "$id rate_per_second=${account.ratePerSecond} burst=${account.burst} " +
                        "weight=${account.weight} keys=${active[id] ?: 0}"
                }
            val json =
                accounts.map { (id, account) ->
                    jsonOf(
                        "id" to id,
                        "rate_per_second" to account.ratePerSecond,
                        "burst" to account.burst,
                        "weight" to account.weight,
                        "keys" to (active[id] ?: 0),
                    )
                }
            CommandResult(lines, jsonOf("accounts" to json))
        }
}
