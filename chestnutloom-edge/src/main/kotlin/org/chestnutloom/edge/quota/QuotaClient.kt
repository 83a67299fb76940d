package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.receiveAsFlow
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.FleetTransport
import org.chestnutloom.edge.fleet.Peer
import org.chestnutloom.edge.fleet.QuotaOutcome
import org.chestnutloom.edge.fleet.QuotaRefund
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.edge.fleet.QuotaRequest
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Asks the replicas of an account to admit requests, one more at a time until one decides; confined to the event loop.
 *
 * A lost message loses at most one token of the account. A token that is not needed any more is returned.
 */
internal class QuotaClient(
    private val fleet: Fleet,
    private val transport: FleetTransport,
    private val clock: Clock,
    random: Random,
) {
    // A random start, so that late replies to an earlier incarnation of this gateway match no request.
    private var nextId = random.nextLong()
    private val pending = HashMap<Long, Channel<ReceivedReply>>()
    private val avoidedUntil = HashMap<GatewayId, Duration>()

    /** Has a request of [account] admitted, or refuses it as not run. */
    suspend fun admit(
        account: ClientAccountId,
        startsProgram: Boolean,
        maxWait: Duration,
    ): Either<Refusal, QuotaGrant> {
        val request = QuotaRequest(nextId++, account, startsProgram, maxWait.inWholeMilliseconds)
        val replies = Channel<ReceivedReply>(Channel.UNLIMITED)
        pending[request.id] = replies
        try {
            return resultOf(decide(request, replies))
        } finally {
            pending.remove(request.id)
            refundUnused(replies)
        }
    }

    /** Applies a [reply] that arrived from the gateway at [sender]. */
    fun receive(
        reply: QuotaReply,
        sender: PeerAddress,
    ) {
        val received = ReceivedReply(reply, sender)
        pending[reply.id]?.trySend(received) ?: refund(received)
    }

    /** Returns the first decision about [request], or null if no replica decides. */
    private suspend fun decide(
        request: QuotaRequest,
        replies: ReceiveChannel<ReceivedReply>,
    ): ReceivedReply? {
        var isReplyPending = false
        for (replica in candidates(request.account)) {
            transport.send(request, listOf(replica.member.address))
            val reply = withTimeoutOrNull(HEDGE_DELAY) { replies.receive() }
            when {
                reply == null -> {
                    avoid(replica, request)
                    isReplyPending = true
                }
                reply.isDecision -> return reply
                // The replica lets a request wait for up to twice the expected time.
                reply.isQueued -> return awaitDecision(replies, request.maxWaitMs.milliseconds * 2 + REPLY_TIMEOUT)
            }
        }
        return if (isReplyPending) awaitDecision(replies, REPLY_TIMEOUT) else null
    }

    private suspend fun awaitDecision(
        replies: ReceiveChannel<ReceivedReply>,
        timeout: Duration,
    ): ReceivedReply? = withTimeoutOrNull(timeout) { replies.receiveAsFlow().first { it.isDecision } }

    private fun resultOf(decision: ReceivedReply?): Either<Refusal, QuotaGrant> =
        when (decision?.reply?.outcome) {
            QuotaOutcome.GRANTED -> QuotaGrant { refund(decision) }.right()
            QuotaOutcome.REFUSED -> rateLimited(decision.reply.retryAfterMs.milliseconds).left()
            else -> noReplica().left()
        }

    /** Returns the replicas that are heard, in order of preference; those that have recently not replied come last. */
    private fun candidates(account: ClientAccountId): List<Peer> =
        fleet
            .replicasOf(account)
            .mapNotNull(fleet::peer)
            .filterNot { it.isUnresponsive }
            .sortedBy(::isAvoided)

    private fun isAvoided(peer: Peer): Boolean =
        avoidedUntil[peer.member.gateway].let { it != null && clock.elapsed() < it }

    private fun avoid(
        replica: Peer,
        request: QuotaRequest,
    ) {
        val gateway = replica.member.gateway
        avoidedUntil[gateway] = clock.elapsed() + AVOIDANCE_TIME
        logger.event("quota_reply_late", "gateway" to gateway, "account" to request.account)
    }

    private fun refundUnused(replies: ReceiveChannel<ReceivedReply>) {
        while (true) refund(replies.tryReceive().getOrNull() ?: return)
    }

    private fun refund(received: ReceivedReply) {
        if (received.reply.outcome != QuotaOutcome.GRANTED) return
        transport.send(QuotaRefund(received.reply.id, received.reply.account), listOf(received.sender))
    }

    private fun noReplica(): Refusal =
        Refusal(
            RefusalCode.GATEWAY_STALE,
            Execution.NOT_RUN,
            "No gateway that enforces the account's rate limit is reachable.",
            NO_REPLICA_RETRY_MS,
        )

    private companion object {
        /** Above the usual response time; the next replica is asked too when a reply takes longer. */
        private val HEDGE_DELAY = 150.milliseconds

        /** How long a decision is awaited after all replicas have been asked. */
        private val REPLY_TIMEOUT = 400.milliseconds

        /** About the time after which a failed gateway is known to be unresponsive. */
        private val AVOIDANCE_TIME = 1.seconds
        private const val NO_REPLICA_RETRY_MS = 500L
    }

    private class ReceivedReply(
        val reply: QuotaReply,
        val sender: PeerAddress,
    ) {
        val isQueued: Boolean
            get() = reply.outcome == QuotaOutcome.QUEUED

        val isDecision: Boolean
            get() = reply.outcome == QuotaOutcome.GRANTED || reply.outcome == QuotaOutcome.REFUSED
    }
}
