package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** The calling end of a link to one peer; it connects when first used and again after a failure. */
public interface PeerLink {
    /** The address that the link connects to. */
    public val address: PeerAddress

    /** The peer's identity on the newest connection, or null before the first. */
    public val peer: PeerIdentity?

    /** The newest heartbeat that the peer sent, or null before the first. */
    public val lastHeartbeat: Heartbeat?

    /**
     * Sends [request] and returns the stream of replies.
     *
     * Collecting throws [LinkException] when the link fails before the peer ends the stream. Cancelling the collection
     * tells the peer to stop.
     */
    public fun request(request: LinkRequest): Flow<LinkReply>

    /** Closes the link; streams still open fail with [LinkFailure.Lost]. */
    public suspend fun close()
}
