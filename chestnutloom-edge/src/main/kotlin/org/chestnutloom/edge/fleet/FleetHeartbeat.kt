package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state that a gateway sends to some of the others several times a second.
 *
 * All fields are totals or current values, so lost and duplicated heartbeats are harmless.
 *
 * @property sender the state of the gateway that sends the heartbeat
 * @property relayed states of other gateways that the sender has recently received
 * @property accountUsage the requests that the sender has admitted, by client account whose limit it enforces
 * @property crashes crashes known to the sender, the most recent ones first
 * @property failures the failures of targets in the states of the sender and of relayed gateways, if any
 * @property workMs the work of each load of [sender] and of the [relayed] states in this order, or empty without any
 */
@Serializable
@SerialName("heartbeat")
public data class FleetHeartbeat(
    public val sender: GatewayState,
    public val relayed: List<GatewayState>,
    public val accountUsage: List<AccountUsage>,
    public val crashes: List<CrashReport>,
    public val workMs: List<List<Int>> = emptyList(),
    public val failures: List<GatewayFailures> = emptyList(),
) : FleetMessage {
    /** Returns this heartbeat with the [failures] in the states to which they belong. */
    internal fun withFailuresInStates(): FleetHeartbeat {
        if (failures.isEmpty()) return this
        val byGateway = failures.associate { it.gateway to it.failures }

        fun complete(state: GatewayState) = state.copy(failures = byGateway[state.gateway].orEmpty())
        return copy(sender = complete(sender), relayed = relayed.map(::complete))
    }

    /** Returns this heartbeat with the failures of its states in [failures]. */
    internal fun withFailuresOfStates(): FleetHeartbeat =
        copy(
            failures =
                (relayed + sender).filter { it.failures.isNotEmpty() }.map { GatewayFailures(it.gateway, it.failures) },
        )
}
