package org.chestnutloom.gateway.control

import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.link.PeerLink

/** Knows the other gateways of the fleet. */
public interface PeerDirectory {
    /** Returns links to all other gateways that the platform lists as live. */
    public fun all(): Map<GatewayId, PeerLink>
}
