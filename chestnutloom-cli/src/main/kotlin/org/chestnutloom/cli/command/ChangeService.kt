package org.chestnutloom.cli.command

import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.store.RolloutWaiter
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.mechanism.Mechanisms

/** Writes changes and waits until the gateways have applied them. */
internal class ChangeService(
    private val mechanisms: (CommandContext) -> Mechanisms,
) {
    fun writer(context: CommandContext): ChangeWriter = ChangeWriter(context.store, mechanisms(context))

    /** Returns the gateways that have not applied configuration [version] yet, or null when that is unknown. */
    suspend fun awaitConfig(
        context: CommandContext,
        version: Long,
    ): List<String>? = waiter(context).await(ConfigHead(configVersion = version, keyVersion = 0))

    /** Returns the gateways that have not applied key change [version] yet, or null when that is unknown. */
    suspend fun awaitKeys(
        context: CommandContext,
        version: Long,
    ): List<String>? = waiter(context).await(ConfigHead(configVersion = 0, keyVersion = version))

    private fun waiter(context: CommandContext): RolloutWaiter =
        RolloutWaiter(context.store, context.clock, context.wait, context.lease)
}
