package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId

/** Receives membership and failure detection events of the fleet. */
public interface FleetListener {
    /** A new [heartbeat] of [peer] arrived. */
    public fun heartbeatReceived(
        peer: Peer,
        heartbeat: FleetHeartbeat,
    )

    /** No heartbeat of [peer] has arrived within the silence timeout. */
    public fun peerUnresponsive(peer: Peer)

    /** [peer] has been unresponsive so long that it counts as failed, while others are reachable. Called repeatedly. */
    public fun peerFailed(peer: Peer)

    /** The row of this gateway was removed from the store. */
    public fun selfUnregistered()

    /** The gateway [id] is no longer registered. */
    public fun peerUnregistered(id: GatewayId)
}
