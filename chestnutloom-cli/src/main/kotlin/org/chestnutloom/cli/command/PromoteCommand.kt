package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandCall
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.checkDocument
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.ConfigRecord

/** Makes the document that was tried in one environment, byte for byte, the configuration of another. */
internal class PromoteCommand(
    private val changes: Changes,
) : Command {
    override val name: String = "promote"
    override val description: String = "makes the document of one environment the configuration of another, unchanged"
    override val flags: List<Flag> =
        listOf(
            Flag("from", "environment that the document was tried in; trial when left out"),
            Flag("to", "environment that gets the document; production when left out"),
            baseVersionFlag,
        )

    override suspend fun run(call: CommandCall): Either<CommandFailure, CommandResult> =
        either {
            val from = call.optional("from") ?: "trial"
            val target = call.within(call.optional("to") ?: "production")
            val tried = call.stores(from).newest().bind() ?: raise(CommandFailure.NotFound("configuration in $from"))
            checkDocument(tried.document).bind()
            val current = target.store.newest().bind()
            val base = baseVersion(target, current?.version ?: 0).bind()
            val version = if (isSame(current, tried, base)) base else write(target, tried, from, base).bind()
            accepted(target.environment, version, tried.digest).withOutstanding(changes.awaitConfig(target, version))
        }

    private fun isSame(
        current: ConfigRecord?,
        tried: ConfigRecord,
        base: Long,
    ): Boolean = current?.digest == tried.digest && current.version == base

    private suspend fun write(
        target: CommandCall,
        tried: ConfigRecord,
        from: String,
        base: Long,
    ): Either<CommandFailure, Long> =
        changes.writer(target).writeDocument(base) { version ->
            ChangeWriter.record(version, tried.document, target.author, target.nowMs, promotedFrom = from)
        }
}
