package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId

/** Receives membership and failure detection events of the fleet. */
public interface FleetListener {
    /** A new [heartbeat] of [peer] arrived from the peer itself. */
    public fun heartbeatReceived(
        peer: Peer,
        heartbeat: FleetHeartbeat,
    )

    /** A newer state of [peer] arrived, from the peer itself or relayed, or the peer was restarted. */
    public fun stateChanged(peer: Peer)

    /** Nothing has been heard of [peer] within its silence timeout. */
    public fun peerUnresponsive(peer: Peer)

    /**
     * The neighbor [peer] has been unresponsive so long that it counts as failed, while others are reachable. Called
     * repeatedly.
     */
    public fun peerFailed(peer: Peer)

    /** The row of this gateway was removed from the store. */
    public fun selfUnregistered()

    /** The gateway [id] is no longer registered. */
    public fun peerUnregistered(id: GatewayId)

    /** The registered gateways changed, and with them the neighbors and the replicas of accounts. */
    public fun topologyChanged()
}
