package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.common.flag.Flag

/** The flag that sets the version on which a change is based. */
internal val baseVersionFlag: Flag =
    Flag("base-version", "version on which the change is based; the change fails if there is a newer one")

/** Returns the base version of the change, which is [newest] unless the operator sets one. */
internal fun baseVersion(
    context: CommandContext,
    newest: Long,
): Either<CommandFailure, Long> {
    val text = context.optional(baseVersionFlag.name) ?: return newest.right()
    return text.toLongOrNull()?.right() ?: CommandFailure.NotFound("version $text in ${context.environment}").left()
}
