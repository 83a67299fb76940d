package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** Answers the requests that arrive over links. */
public interface LinkHandler {
    /**
     * Answers [request] from [peer].
     *
     * The flow is collected once, and its collection is cancelled when the peer closes the stream or the link fails.
     */
    public fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>

    /** Takes note of [heartbeat], which [peer] sends at least once each heartbeat interval. */
    public fun onHeartbeat(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ) {}
}
