package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress

/**
 * The registration of a gateway in the store.
 *
 * @property address receives heartbeats over UDP and accepts links over TCP
 * @property processorShare the share of a processor core that each core of the VM gives to the gateway, 1.0 in rows of
 *   earlier builds
 */
@Serializable
public data class Member(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val failureDomain: String,
    public val address: PeerAddress,
    public val processorShare: Double = 1.0,
)
