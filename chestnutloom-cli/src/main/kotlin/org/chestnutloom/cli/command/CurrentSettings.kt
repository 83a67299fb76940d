package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.documentDecoder

/** Returns the settings in the newest configuration version of the environment. */
internal suspend fun currentSettings(context: CommandContext): Either<CommandFailure, EnvironmentSettings> =
    either {
        val record =
            context.store.readNewest().bind()
                ?: raise(CommandFailure.NotFound("configuration in ${context.environment}"))
        documentDecoder().decode(record.document).mapLeft { CommandFailure.FaultyDocument(it) }.bind()
    }
