package org.chestnutloom.cli

import org.chestnutloom.cli.store.EnvironmentStore
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.common.flag.FlagValues
import org.chestnutloom.store.VmList
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * One call of a command.
 *
 * @property author who is named as the author of changes
 * @property wait how long to wait until a change is in force everywhere
 * @property lease how long gateways may act without renewing their lease
 */
internal class CommandContext(
    val values: FlagValues,
    val environment: String,
    val author: String,
    val wait: Duration,
    val lease: Duration,
    val storeOf: (String) -> EnvironmentStore,
    val vmList: VmList?,
    val clock: Clock,
) {
    val store: EnvironmentStore
        get() = storeOf(environment)

    val nowMs: Long
        get() = clock.now().toEpochMilli()

    /** Returns the same call for another environment. */
    fun forEnvironment(other: String): CommandContext =
        CommandContext(values, other, author, wait, lease, storeOf, vmList, clock)

    /** Returns the argument called [name]. */
    fun argument(name: String): String = values.argument(name)

    /** Returns the flag called [name], or null when it was not given. */
    fun optional(name: String): String? = FlagReader(values).optional(name)

    /** Tells whether the switch called [name] was given. */
    fun switch(name: String): Boolean = FlagReader(values).switch(name)
}
