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

    /**
     * Returns how many tokens of the request [id] of [sender] are newly returned if [total] of them have been returned so
     * far; each token is returned once.
     */
    fun takeRefund(
        sender: PeerAddress,
        id: Long,
        total: Int,
    ): Int {
        val request = requests[RequestKey(sender, id)] ?: return 0
        val grant = request.reply?.takeIf { it.outcome == QuotaOutcome.GRANTED } ?: return 0
        val returned = (minOf(total, grant.count) - request.returnedTokens).coerceAtLeast(0)
        request.returnedTokens += returned
        return returned
    }

    private data class RequestKey(
        val sender: PeerAddress,
        val id: Long,
    )

    private class RecentRequest {
        var reply: QuotaReply? = null
        var returnedTokens = 0
    }

    private companion object {
        /** More than arrive while a request is served; a token that is returned later is lost to the account. */
        private const val MAX_REQUESTS = 4_096
    }
}
