package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.checkDocument
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.ConfigRecord

/** Copies the document of one environment unchanged to another, so that exactly what was tested is used. */
internal class PromoteCommand(
    private val changeService: ChangeService,
) : Command {
    override val name: String = "promote"
    override val description: String = "copies the configuration document of one environment unchanged to another"
    override val flags: List<Flag> =
        listOf(
            Flag("from", "environment that the document is copied from; defaults to trial"),
            Flag("to", "environment that the document is copied to; defaults to production"),
            baseVersionFlag,
        )

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val from = context.optional("from") ?: "trial"
            val destination = context.forEnvironment(context.optional("to") ?: "production")
            val source =
                context.storeOf(from).readNewest().bind() ?: raise(CommandFailure.NotFound("configuration in $from"))
            checkDocument(source.document).bind()
            val current = destination.store.readNewest().bind()
            val base = baseVersion(destination, current?.version ?: 0).bind()
            val version =
                if (isUnchanged(current, source, base)) base else write(destination, source, from, base).bind()
            acceptedResult(destination.environment, version, source.digest)
                .withOutstanding(changeService.awaitConfig(destination, version))
        }

    private fun isUnchanged(
        current: ConfigRecord?,
        source: ConfigRecord,
        base: Long,
    ): Boolean = current?.digest == source.digest && current.version == base

    private suspend fun write(
        destination: CommandContext,
        source: ConfigRecord,
        from: String,
        base: Long,
    ): Either<CommandFailure, Long> =
        changeService.writer(destination).writeDocument(base) { version ->
            ChangeWriter.record(version, source.document, destination.author, destination.nowMs, promotedFrom = from)
        }
}
