package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId

/** Is told what is heard of other gateways. */
public interface FleetListener {
    /** A beat of [peer] arrived. */
    public fun heartbeatReceived(
        peer: Peer,
        beat: FleetHeartbeat,
    )

    /** Nothing came from [peer] for a while. */
    public fun peerSilent(peer: Peer)

    /** Nothing came from [peer] for so long that it is taken for lost, while others are heard; told now and then. */
    public fun peerLost(peer: Peer)

    /** This gateway is no longer registered, though it was. */
    public fun selfUnregistered()

    /** The gateway called [id] is no longer registered. */
    public fun peerUnregistered(id: GatewayId)
}
