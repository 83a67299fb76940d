package org.chestnutloom.edge.fleet

import org.chestnutloom.wire.link.PeerAddress

/** Sends messages to other gateways, without delivery guarantee. */
public fun interface FleetTransport {
    /** Sends [message] to each of [receivers]. */
    public fun send(
        message: FleetMessage,
        receivers: Collection<PeerAddress>,
    )
}
