package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** The client side of a link to one peer; connects on first use, and reconnects after a failure. */
public interface PeerLink {
    /** The address that the link connects to. */
    public val address: PeerAddress

    /** The peer's identity on the latest connection, or null before the first connection. */
    public val peer: PeerIdentity?

    /** The latest heartbeat received from the peer, or null before the first. */
    public val lastHeartbeat: Heartbeat?

    /**
     * Returns the stream of replies to [request], which is sent when the flow is collected.
     *
     * Collecting throws [LinkException] if the link fails before the peer ends the stream. Cancelling the collection
     * cancels the handler at the peer.
     */
    public fun request(request: LinkRequest): Flow<LinkReply>

    /** Closes the link; open streams fail with [LinkFailure.Lost]. */
    public suspend fun close()
}
