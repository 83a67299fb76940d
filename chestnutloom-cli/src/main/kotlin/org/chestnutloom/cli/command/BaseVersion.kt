package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.common.flag.Flag

/** The flag that names the version which a change builds on. */
internal val baseVersionFlag: Flag =
    Flag("base-version", "version that the change builds on; the change fails when there is a newer one")

/** Returns the version that the change builds on, which is [newest] unless the operator names one. */
internal fun baseVersion(
    context: CommandContext,
    newest: Long,
): Either<CommandFailure, Long> {
    val text = context.optional(baseVersionFlag.name) ?: return newest.right()
    return text.toLongOrNull()?.right() ?: CommandFailure.NotFound("version $text in ${context.environment}").left()
}
