package org.chestnutloom.cli

import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms

/** The flags of every command. */
internal val cliFlags: List<Flag> =
    listOf(
        Flag("environment", "environment to work on; production when left out"),
        Flag("table-url", "address of the table service"),
        Flag("vm-list-url", "address of the VM list, for status"),
        Flag("object-url", "address of the object store; not needed so far"),
        Flag("output", "text or json"),
        Flag("author", "who is named as the author of changes; the user's name when left out"),
        Flag("wait-seconds", "how long to wait until a change is in force at every gateway"),
        Flag("lease-ms", "how long gateways may act without renewing their lease, as set there"),
        Flag("store-timeout-ms", "how long to wait for each answer of the table service"),
        Flag("unsafe-disable", "for tests only: safety mechanisms to work without, separated by commas"),
    )

/** Returns the mechanisms to work with. */
internal fun FlagReader.mechanisms(): Mechanisms {
    val named = list("unsafe-disable").map { text -> text to Mechanism.entries.find { it.name == text.uppercase() } }
    named.filter { it.second == null }.forEach { addError("unsafe-disable", "names the unknown mechanism ${it.first}") }
    return Mechanisms.without(named.mapNotNull { it.second }.toSet())
}
