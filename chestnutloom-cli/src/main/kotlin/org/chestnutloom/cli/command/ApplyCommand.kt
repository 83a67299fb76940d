package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandCall
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.readDocument
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.withOutstanding
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.config.digest

/** Makes a document the newest version of the environment. */
internal class ApplyCommand(
    private val changes: Changes,
) : Command {
    override val name: String = "apply"
    override val description: String = "makes a document the configuration of an environment"
    override val arguments: List<String> = listOf("file")
    override val flags: List<Flag> = listOf(baseVersionFlag)

    override suspend fun run(call: CommandCall): Either<CommandFailure, CommandResult> =
        either {
            val document = readDocument(call.argument("file")).bind()
            val current = call.store.newest().bind()
            val base = baseVersion(call, current?.version ?: 0).bind()
            val version =
                if (current?.digest == digest(document) && base == current.version) {
                    current.version
                } else {
                    changes
                        .writer(call)
                        .writeDocument(base) { ChangeWriter.record(it, document, call.author, call.nowMs) }
                        .bind()
                }
            accepted(call.environment, version, digest(document)).withOutstanding(changes.awaitConfig(call, version))
        }
}

/** Returns the result of a change that made [version] the newest of [environment]. */
internal fun accepted(
    environment: String,
    version: Long,
    digest: String,
): CommandResult {
    val json = jsonOf("environment" to environment, "version" to version, "digest" to digest)
    return CommandResult(listOf("accepted as version $version of $environment, digest $digest"), json)
}
