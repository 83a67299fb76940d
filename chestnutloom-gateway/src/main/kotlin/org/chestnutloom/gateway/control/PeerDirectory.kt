package org.chestnutloom.gateway.control

import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.link.PeerLink

/** Provides links to the other gateways of the fleet. */
public interface PeerDirectory {
    /** Returns links to all other gateways, by the VM list and the lease rows. */
    public fun all(): Map<GatewayId, PeerLink>
}
