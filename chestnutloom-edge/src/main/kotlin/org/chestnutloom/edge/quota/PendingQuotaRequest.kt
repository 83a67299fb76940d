package org.chestnutloom.edge.quota

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.edge.fleet.QuotaRequest
import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/** A [request] that no replica has decided yet, with the replies that have arrived; confined to the event loop. */
internal class PendingQuotaRequest(
    val request: QuotaRequest,
) {
    private val replies = ArrayDeque<ReceivedReply>()
    private val seen = HashSet<ReceivedReply>()
    private val arrival = Channel<Unit>(Channel.CONFLATED)

    /** The replicas that were asked and have not replied yet. */
    val asked = HashMap<PeerAddress, AskedReplica>()

    /** Adds a reply unless it is a duplicate. */
    fun add(received: ReceivedReply) {
        if (!seen.add(received)) return
        replies += received
        arrival.trySend(Unit)
    }

    /**
     * Returns the next reply that [matches], or null after [timeout].
     *
     * A reply that arrives in the same iteration of the event loop as the end of the timeout is returned, not lost.
     */
    suspend fun next(
        timeout: Duration,
        matches: (ReceivedReply) -> Boolean = { true },
    ): ReceivedReply? {
        withTimeoutOrNull(timeout) { while (replies.none(matches)) arrival.receive() }
        return replies.firstOrNull(matches)?.also { replies -= it }
    }

    /** Returns the replies that were not taken. */
    fun takeUnused(): List<ReceivedReply> = replies.toList().also { replies.clear() }
}

/** The replica [gateway], which was asked at the monotonic time [askedAt]. */
internal class AskedReplica(
    val gateway: GatewayId,
    val askedAt: Duration,
)
