package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.KeyRecord
import java.time.Instant

/** Lists access keys, without their secrets. */
internal object KeyListCommand : Command {
    override val name: String = "key list"
    override val description: String = "lists the keys, without their secrets"
    override val flags: List<Flag> = listOf(Flag("account", "only the keys of this client account"))

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val all = context.store.readAll(KeyRecord.prefix(context.environment), KeyRecord.serializer()).bind()
            val account = context.optional("account")
            val keys = all.filter { account == null || it.account.value == account }.sortedBy { it.createdAtMs }
            CommandResult(keys.map { lineOfKey(it) }, jsonOf("keys" to keys.map { jsonOfKey(it) }))
        }

    private fun lineOfKey(key: KeyRecord): String {
        val state = key.withdrawnAtMs?.let { "withdrawn ${Instant.ofEpochMilli(it)}" } ?: "active"
        return "${key.id} ${key.account} created ${Instant.ofEpochMilli(key.createdAtMs)} $state"
    }

    private fun jsonOfKey(key: KeyRecord) =
        jsonOf(
            "id" to key.id,
            "account" to key.account,
            "created_at_ms" to key.createdAtMs,
            "withdrawn_at_ms" to key.withdrawnAtMs,
        )
}
