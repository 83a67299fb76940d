package org.chestnutloom.edge.quota

import org.chestnutloom.wire.link.PeerAddress

/**
 * The last grants that requests were admitted by, so that a datagram that arrives twice does not return a token that is
 * used; confined to the event loop.
 */
internal class UsedGrants {
    private val grants = LinkedHashSet<Key>()

    /** Records that a request uses the grant [received]. */
    fun add(received: ReceivedReply) {
        grants += keyOf(received)
        if (grants.size > MAX_GRANTS) grants.remove(grants.first())
    }

    /** Whether a request uses the grant [received]. */
    operator fun contains(received: ReceivedReply): Boolean = keyOf(received) in grants

    private fun keyOf(received: ReceivedReply) = Key(received.reply.id, received.sender)

    private data class Key(
        val id: Long,
        val sender: PeerAddress,
    )

    private companion object {
        /** More than a gateway sends in the time by which a network delays a duplicate. */
        private const val MAX_GRANTS = 1_024
    }
}
