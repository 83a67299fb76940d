package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress

/**
 * The registration of a gateway in the store.
 *
 * @property address receives heartbeats over UDP and accepts links over TCP
 */
@Serializable
public data class Member(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val failureDomain: String,
    public val address: PeerAddress,
)
