package org.chestnutloom.integration.fleet

import org.chestnutloom.mechanism.Mechanism

/**
 * The composition of a fleet of real processes.
 *
 * @property proxied whether the connections of gateways and sidecars run through the fault-injecting proxy
 * @property disabled mechanisms that are disabled in gateways and sidecars
 */
data class FleetOptions(
    val gateways: Int = 2,
    val engines: Int = 2,
    val toolServices: Int = 1,
    val accounts: List<AccountOptions> = listOf(AccountOptions("hospital"), AccountOptions("care-home")),
    val proxied: Boolean = false,
    val disabled: Set<Mechanism> = emptySet(),
    val leaseMs: Long = 3_000,
    val maxRunning: Int = 8,
    val verifyOrders: Boolean = true,
    val decodeMsPerStep: Double = 2.0,
    val gatewayArguments: List<String> = emptyList(),
    val sidecarArguments: List<String> = emptyList(),
    val engineArguments: List<String> = emptyList(),
)
