package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** Handles the requests that arrive over links. */
public interface LinkHandler {
    /**
     * Returns the replies to [request] from [peer].
     *
     * The flow is collected once. Collection is cancelled when the peer cancels the stream or the connection ends.
     */
    public fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>

    /** Receives a [heartbeat], which [peer] sends at least once per heartbeat interval. */
    public fun onHeartbeat(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ) {}
}
