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

/** Makes the document that was tried in one environment, byte for byte, the configuration of another. */
internal class PromoteCommand(
    private val changeService: ChangeService,
) : Command {
    override val name: String = "promote"
    override val description: String = "makes the document of one environment the configuration of another, unchanged"
    override val flags: List<Flag> =
        listOf(
            Flag("from", "environment that the document was tried in; trial when left out"),
            Flag("to", "environment that gets the document; production when left out"),
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
                if (isUnchanged(
                        current,
                        source,
                        base,
                    )
                ) {
                    base
                } else {
                    write(destination, source, from, base).bind()
                }
            acceptedResult(
                destination.environment,
                version,
                source.digest,
            ).withOutstanding(changeService.awaitConfig(destination, version))
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
