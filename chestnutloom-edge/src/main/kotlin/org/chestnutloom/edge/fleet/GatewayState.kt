package org.chestnutloom.edge.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.CborArray
import org.chestnutloom.edge.admission.WorkReport
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The state of a gateway that every other gateway learns, from its own heartbeats or relayed by others.
 *
 * @property sequence increases with each heartbeat of an incarnation
 * @property reachesStore whether the platform's store has recently responded to the gateway
 * @property loads the requests of the gateway at targets, without targets that have none; the largest ones if there are
 *   more than fit
 * @property failures the failures of targets that the gateway has recently seen, without targets that have none;
 *   encoded in [FleetHeartbeat.failures], since earlier builds reject an array with more elements
 * @property work the work that the gateway has committed to and that waits there, or null if it doesn't report any
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class GatewayState(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val sequence: Long,
    public val reachesStore: Boolean,
    public val loads: List<TargetLoad>,
    @Transient public val failures: List<TargetFailures> = emptyList(),
    public val work: WorkReport? = null,
)
