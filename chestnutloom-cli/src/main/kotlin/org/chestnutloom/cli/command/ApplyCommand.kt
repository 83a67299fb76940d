package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.readDocument
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.digest

/** Writes a document as the newest configuration version of the environment. */
internal class ApplyCommand(
    private val changeService: ChangeService,
) : Command {
    override val name: String = "apply"
    override val description: String = "sets the configuration of an environment to a document"
    override val arguments: List<String> = listOf("file")
    override val flags: List<Flag> = listOf(baseVersionFlag)

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val document = readDocument(context.argument("file")).bind()
            val current = context.store.readNewest().bind()
            val base = baseVersion(context, current?.version ?: 0).bind()
            val version =
                if (current?.digest == digest(document) && base == current.version) {
                    current.version
                } else {
                    changeService
                        .writer(context)
                        .writeDocument(base) { ChangeWriter.record(it, document, context.author, context.nowMs) }
                        .bind()
                }
            acceptedResult(
                context.environment,
                version,
                digest(document),
            ).withOutstanding(changeService.awaitConfig(context, version))
        }
}

/** Returns the result of a change that made [version] the newest of [environment]. */
internal fun acceptedResult(
    environment: String,
    version: Long,
    digest: String,
): CommandResult {
    val json = jsonOf("environment" to environment, "version" to version, "digest" to digest)
    return CommandResult(listOf("accepted as version $version of $environment, digest $digest"), json)
}
