package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
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
 * A lost message loses at most the tokens that it grants. Tokens that are not needed any more are returned.
 */
internal class QuotaClient(
    private val fleet: Fleet,
    private val transport: FleetTransport,
    private val clock: Clock,
    private val metrics: QuotaMetrics,
    random: Random,
) {
    // A random start, so that late replies to an earlier incarnation of this gateway match no request.
    private var nextId = random.nextLong()
    private val pending = HashMap<Long, PendingQuotaRequest>()
    private val replyTimes = HashMap<GatewayId, ReplyTime>()
    private val usedGrants = UsedGrants()
    private val avoidedUntil = HashMap<GatewayId, Duration>()

    /**
     * Returns the granted tokens of [account], at least one, or refuses a request as not run.
     *
     * @param count the number of wanted tokens
     * @param loanPeriod how long the tokens may be used, counted from now; zero if none is to be used later
     */
    suspend fun request(
        account: ClientAccountId,
        startsProgram: Boolean,
        maxWait: Duration,
        count: Int = 1,
        loanPeriod: Duration = Duration.ZERO,
    ): Either<Refusal, TokenLoan> {
        val maxWaitMs = maxWait.inWholeMilliseconds
        val request =
            QuotaRequest(nextId++, account, startsProgram, maxWaitMs, count, loanPeriod.inWholeMilliseconds)
        val sentAt = SendTime(clock)
        val waiting = PendingQuotaRequest(request)
        pending[request.id] = waiting
        try {
            return resultOf(decide(waiting)) { TokenLoan(it.reply, it.sender, sentAt, loanPeriod) }
        } finally {
            pending.remove(request.id)
            waiting.takeUnused().forEach(::refund)
        }
    }

    /** Applies a [reply] that arrived from the gateway at [sender]. */
    fun receive(
        reply: QuotaReply,
        sender: PeerAddress,
    ) {
        val received = ReceivedReply(reply, sender)
        val request = pending[reply.id] ?: return refund(received)
        request.asked.remove(sender)?.let { replyTimeOf(it.gateway).record(clock.elapsed() - it.askedAt) }
        request.add(received)
    }

    /** Returns the first decision about a request, or null if no replica decides. */
    private suspend fun decide(pending: PendingQuotaRequest): ReceivedReply? {
        val request = pending.request
        var isReplyPending = false
        for (replica in candidates(request.account)) {
            if (isReplyPending) metrics.recordHedged()
            ask(replica, pending)
            val reply = awaitReply(replica, pending)
            when {
                reply == null -> {
                    recordLate(replica, pending)
                    isReplyPending = true
                }
                reply.isDecision -> return reply
                // The replica lets a request wait for up to twice the expected time.
                reply.isQueued -> return awaitDecision(pending, request.maxWaitMs.milliseconds * 2 + REPLY_TIMEOUT)
            }
        }
        return if (isReplyPending) awaitDecision(pending, REPLY_TIMEOUT) else null
    }

    private fun ask(
        replica: Peer,
        pending: PendingQuotaRequest,
    ) {
        val address = replica.member.address
        pending.asked[address] = AskedReplica(replica.member.gateway, clock.elapsed())
        transport.send(pending.request, listOf(address))
    }

    /**
     * Returns the next reply, or null if it is late.
     *
     * If the timer fires late, the event loop of this gateway was blocked, for example by garbage collection. Replies may
     * be unread in the socket's buffer, so the loop gets time to read them before the replica counts as late.
     */
    private suspend fun awaitReply(
        replica: Peer,
        pending: PendingQuotaRequest,
    ): ReceivedReply? {
        val timeout = if (fleet.isQuotaPrefetchEnabled) replyTimeOf(replica.member.gateway).timeout else HEDGE_DELAY
        val dueAt = clock.elapsed() + timeout
        pending.next(timeout)?.let { return it }
        return if (clock.elapsed() - dueAt > STALL_TOLERANCE) pending.next(READ_TIME_AFTER_STALL) else null
    }

    private suspend fun awaitDecision(
        pending: PendingQuotaRequest,
        timeout: Duration,
    ): ReceivedReply? = pending.next(timeout) { it.isDecision }

    private fun replyTimeOf(gateway: GatewayId): ReplyTime = replyTimes.getOrPut(gateway) { ReplyTime() }

    private fun resultOf(
        decision: ReceivedReply?,
        loanOf: (ReceivedReply) -> TokenLoan,
    ): Either<Refusal, TokenLoan> =
        when (decision?.reply?.outcome) {
            QuotaOutcome.GRANTED -> loanOf(decision).right().also { usedGrants.add(decision) }
            QuotaOutcome.REFUSED -> rateLimited(decision.reply.retryAfterMs.milliseconds).left()
            else -> noReplica().left()
        }

    /** Returns the unused tokens of [loan] to its lender. */
    fun returnUnused(loan: TokenLoan) {
        transport.send(loan.returnUnused(), listOf(loan.lender))
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

    private fun recordLate(
        replica: Peer,
        pending: PendingQuotaRequest,
    ) {
        val gateway = replica.member.gateway
        pending.asked.remove(replica.member.address)?.let { replyTimeOf(gateway).record(clock.elapsed() - it.askedAt) }
        avoidedUntil[gateway] = clock.elapsed() + AVOIDANCE_TIME
        logger.event("quota_reply_late", "gateway" to gateway, "account" to pending.request.account)
    }

    /** Returns the tokens of a grant that is not needed, unless it is the duplicate of one that is. */
    private fun refund(received: ReceivedReply) {
        if (!received.isGrant || received in usedGrants) return
        val reply = received.reply
        transport.send(QuotaRefund(reply.id, reply.account, reply.count), listOf(received.sender))
    }

    private fun noReplica(): Refusal =
        Refusal(
            RefusalCode.GATEWAY_STALE,
            Execution.NOT_RUN,
            "No gateway that enforces the account's rate limit is reachable.",
            NO_REPLICA_RETRY_MS,
        )

    private companion object {
        /** Above the usual response time, where reply times are not learned; the next replica is asked after it. */
        private val HEDGE_DELAY = 150.milliseconds

        /** A timer that fires later than this shows that the event loop was stalled. */
        private val STALL_TOLERANCE = 5.milliseconds

        /** Enough for the event loop to read the datagrams that have arrived. */
        private val READ_TIME_AFTER_STALL = 5.milliseconds

        /** How long a decision is awaited after all replicas have been asked. */
        private val REPLY_TIMEOUT = 400.milliseconds

        /** About the time after which a failed gateway is known to be unresponsive. */
        private val AVOIDANCE_TIME = 1.seconds
        private const val NO_REPLICA_RETRY_MS = 500L
    }
}
