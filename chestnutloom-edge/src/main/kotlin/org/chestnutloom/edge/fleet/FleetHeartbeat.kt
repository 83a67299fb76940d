package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The state that a gateway sends to every other gateway several times a second, as a datagram.
 *
 * All fields are totals or current values, so lost and duplicated heartbeats are harmless.
 *
 * @property sequence increases with each heartbeat of an incarnation
 * @property configurationVersion the version of the configuration that the sender applies; 0 for none
 * @property reachesStore whether the platform's store has recently responded to the sender
 * @property turnsToWrite the number of turns that the sender still has to write to the store
 * @property accountUsage the requests that the sender has admitted, by client account
 * @property loads the requests of the sender at targets; targets without requests are omitted
 * @property crashes the most recent crashes known to the sender
 */
@Serializable
@SerialName("org.chestnutloom.edge.fleet.FleetBeat")
public data class FleetHeartbeat(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val sequence: Long,
    public val configurationVersion: Long,
    public val reachesStore: Boolean,
    public val turnsToWrite: Int,
    @SerialName("used")
    public val accountUsage: List<AccountUsage>,
    public val loads: List<TargetLoad>,
    public val crashes: List<CrashReport>,
)
