package org.chestnutloom.cli

import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms

/** The flags of every command. */
internal val cliFlags: List<Flag> =
    listOf(
        Flag("environment", "environment to work on; defaults to production"),
        Flag("table-url", "address of the table service"),
        Flag("vm-list-url", "address of the VM list, for status"),
        Flag("object-url", "address of the object store; currently unused"),
        Flag("output", "text or json"),
        Flag("author", "author recorded with changes; defaults to the user name"),
        Flag("wait-seconds", "how long to wait until every gateway has applied a change"),
        Flag("lease-ms", "how long gateways may act without renewing their lease, as configured there"),
        Flag("store-timeout-ms", "how long to wait for each response of the table service"),
        Flag("unsafe-disable", "for tests only: safety mechanisms to disable, separated by commas"),
    )

/** Returns the mechanisms that are enabled. */
internal fun FlagReader.mechanisms(): Mechanisms {
    val named = list("unsafe-disable").map { text -> text to Mechanism.entries.find { it.name == text.uppercase() } }
    named.filter { it.second == null }.forEach { addError("unsafe-disable", "names the unknown mechanism ${it.first}") }
    return Mechanisms.without(named.mapNotNull { it.second }.toSet())
}
