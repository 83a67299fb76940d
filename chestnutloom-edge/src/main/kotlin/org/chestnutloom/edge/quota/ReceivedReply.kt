package org.chestnutloom.edge.quota

import org.chestnutloom.edge.fleet.QuotaOutcome
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.wire.link.PeerAddress

/** A [reply] that arrived from the replica at [sender]. */
internal data class ReceivedReply(
    val reply: QuotaReply,
    val sender: PeerAddress,
) {
    val isQueued: Boolean
        get() = reply.outcome == QuotaOutcome.QUEUED

    val isGrant: Boolean
        get() = reply.outcome == QuotaOutcome.GRANTED

    val isDecision: Boolean
        get() = isGrant || reply.outcome == QuotaOutcome.REFUSED
}
