package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * What a gateway tells every other one, several times a second, by datagram.
 *
 * Everything in it is a total or a current value, so that a lost or repeated beat does no harm.
 *
 * @property sequence grows with each beat of an incarnation
 * @property configurationVersion the newest configuration that the sender has in force; 0 for none
 * @property reachesStore whether the platform's store answered the sender lately
 * @property turnsToWrite turns that the sender writes once the store is back
 * @property accountUsage what the sender admitted, by client account
 * @property loads what the sender has at targets; targets without requests are left out
 * @property crashes the newest crashes that the sender knows of
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
