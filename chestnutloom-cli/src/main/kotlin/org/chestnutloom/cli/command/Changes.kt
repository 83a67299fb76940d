package org.chestnutloom.cli.command

import org.chestnutloom.cli.CommandCall
import org.chestnutloom.cli.store.ChangeWriter
import org.chestnutloom.cli.store.ForceWaiter
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.mechanism.Mechanisms

/** Writes changes, and waits until they are in force. */
internal class Changes(
    private val mechanisms: (CommandCall) -> Mechanisms,
) {
    fun writer(call: CommandCall): ChangeWriter = ChangeWriter(call.store, mechanisms(call))

    /** Returns the gateways that do not have configuration [version] in force, or null when that is not known. */
    suspend fun awaitConfig(
        call: CommandCall,
        version: Long,
    ): List<String>? = waiter(call).await(ConfigHead(configVersion = version, keyVersion = 0))

    /** Returns the gateways that do not have key change [version] in force, or null when that is not known. */
    suspend fun awaitKeys(
        call: CommandCall,
        version: Long,
    ): List<String>? = waiter(call).await(ConfigHead(configVersion = 0, keyVersion = version))

    private fun waiter(call: CommandCall): ForceWaiter = ForceWaiter(call.store, call.clock, call.wait, call.lease)
}
