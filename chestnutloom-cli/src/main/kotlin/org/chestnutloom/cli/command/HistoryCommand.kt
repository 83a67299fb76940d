package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.config.ConfigRecord
import java.time.Instant

/** Lists the versions of the environment's configuration, newest first. */
internal object HistoryCommand : Command {
    override val name: String = "history"
    override val description: String = "lists the versions of an environment's configuration, newest first"

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val prefix = ConfigRecord.prefix(context.environment)
            val records =
                context.store
                    .readAll(prefix, ConfigRecord.serializer())
                    .bind()
                    .reversed()
            val json = jsonOf("environment" to context.environment, "versions" to records.map { jsonOfRecord(it) })
            CommandResult(records.map { lineOfRecord(it) }, json)
        }

    private fun lineOfRecord(record: ConfigRecord): String {
        val origin = record.promotedFrom?.let { " promoted from $it" }.orEmpty()
        return "${record.version} ${Instant.ofEpochMilli(record.createdAtMs)} ${record.author} ${record.digest}$origin"
    }

    private fun jsonOfRecord(record: ConfigRecord) =
        jsonOf(
            "version" to record.version,
            "digest" to record.digest,
            "author" to record.author,
            "created_at_ms" to record.createdAtMs,
            "promoted_from" to record.promotedFrom,
        )
}
