package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId

/** Is told what is heard of other gateways. */
public interface FleetListener {
    /** A beat of [peer] arrived. */
    public fun beatArrived(
        peer: Peer,
        beat: FleetBeat,
    )

    /** Nothing came from [peer] for a while. */
    public fun peerSilent(peer: Peer)

    /** The gateway called [id] is no longer registered. */
    public fun peerGone(id: GatewayId)
}
