package org.chestnutloom.cli

import org.chestnutloom.cli.store.EnvironmentStore
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.common.flag.FlagValues
import org.chestnutloom.store.VmList
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * The context in which a command runs.
 *
 * @property author the author recorded with changes
 * @property wait how long to wait until every gateway has applied a change
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

    /** Returns a copy of this context for the environment [other]. */
    fun forEnvironment(other: String): CommandContext =
        CommandContext(values, other, author, wait, lease, storeOf, vmList, clock)

    /** Returns the value of the argument [name]. */
    fun argument(name: String): String = values.argument(name)

    /** Returns the value of the flag [name], or null when it is not set. */
    fun optional(name: String): String? = FlagReader(values).optional(name)

    /** Returns whether the switch [name] is set. */
    fun switch(name: String): Boolean = FlagReader(values).switch(name)
}
