package org.chestnutloom.edge.quota

import org.chestnutloom.edge.fleet.QuotaOutcome
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.wire.link.PeerAddress

/**
 * The last requests for tokens from other gateways and what was replied, so that a datagram that arrives twice takes or
 * returns a token once, and only the gateway that got a token can return it; confined to the event loop.
 */
internal class RecentQuotaRequests {
    private val requests = LinkedHashMap<RequestKey, RecentRequest>()

    /** Records the request [id] of [sender], and returns whether it is new. */
    fun add(
        sender: PeerAddress,
        id: Long,
    ): Boolean {
        if (requests.putIfAbsent(RequestKey(sender, id), RecentRequest()) != null) return false
        if (requests.size > MAX_REQUESTS) requests.remove(requests.keys.first())
        return true
    }

    /** Records the decision about a request of [sender]. */
    fun decided(
        sender: PeerAddress,
        reply: QuotaReply,
    ) {
        requests[RequestKey(sender, reply.id)]?.reply = reply
    }

    /** Returns the decision about the request [id] of [sender], or null if there is none yet. */
    fun replyTo(
        sender: PeerAddress,
        id: Long,
    ): QuotaReply? = requests[RequestKey(sender, id)]?.reply

    /** Returns whether the token of the request [id] of [sender] may be returned, which is true once. */
    fun takeRefund(
        sender: PeerAddress,
        id: Long,
    ): Boolean {
        val request = requests[RequestKey(sender, id)] ?: return false
        if (request.isRefunded || request.reply?.outcome != QuotaOutcome.GRANTED) return false
        request.isRefunded = true
        return true
    }

    private data class RequestKey(
        val sender: PeerAddress,
        val id: Long,
    )

    private class RecentRequest {
        var reply: QuotaReply? = null
        var isRefunded = false
    }

    private companion object {
        /** More than arrive while a request is served; a token that is returned later is lost to the account. */
        private const val MAX_REQUESTS = 4_096
    }
}
