package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.fleet.AccountUsage
import org.chestnutloom.edge.fleet.FleetHeartbeat
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Enforces the rate limits of the client accounts that are placed on this gateway; confined to the event loop. */
public class AccountQuotas(
    private val self: GatewayId,
    private val placement: AccountPlacement,
    private val reporter: UsageReporter,
    private val clock: Clock,
) {
    private val held = LinkedHashMap<ClientAccountId, HeldAccount>()
    private var limits: Map<ClientAccountId, RateLimit> = emptyMap()
    private var nextReported = 0

    /** Whether this gateway enforces the limit of [account]. */
    public fun holds(account: ClientAccountId): Boolean = account in held

    /**
     * Returns totals of admitted requests, and marks them as reported to the other gateways. Of more than
     * [MAX_REPORTED_ACCOUNTS] accounts, each report contains a part.
     */
    public fun report(): List<AccountUsage> {
        val accounts = held.keys.toList()
        val reported = List(minOf(accounts.size, MAX_REPORTED_ACCOUNTS)) { accounts[nextReported++.mod(accounts.size)] }
        return reported.map { AccountUsage(it, held.getValue(it).bucket.report()) }
    }

    /** Applies the rate limits of [configuration]. */
    public fun configure(configuration: EdgeConfiguration) {
        limits =
            configuration.accounts
                .orEmpty()
                .mapNotNull { account -> account.limit?.let { account.id to it } }
                .toMap()
        held.keys.retainAll(limits.keys)
        limits.forEach { (account, limit) -> held[account]?.bucket?.resize(limit, clock.elapsed()) }
        place()
    }

    /** Begins and ends to enforce limits after the placement of accounts has changed. */
    public fun place() {
        limits.forEach { (account, limit) -> place(account, limit) }
    }

    private fun place(
        account: ClientAccountId,
        limit: RateLimit,
    ) {
        val replicas = placement.replicasOf(account).toSet()
        if (self !in replicas) {
            held.remove(account)
            return
        }
        val known = held[account]
        if (known == null) return hold(account, limit, replicas - self)
        (known.others - replicas).forEach { known.bucket.peerUnregistered(it, clock.elapsed()) }
        known.others = replicas - self
    }

    private fun hold(
        account: ClientAccountId,
        limit: RateLimit,
        others: Set<GatewayId>,
    ) {
        val bucket = AccountTokenBucket(limit, clock.elapsed())
        val added = HeldAccount(AccountRateLimiter(bucket, clock), others)
        held[account] = added
        others.filter(placement::isUnresponsive).forEach {
            bucket.peerUnresponsive(it, added.replicaCount, clock.elapsed())
        }
    }

    /** Admits the first request of a program of [account], or refuses it as not run. */
    public fun admitProgramStart(account: AccountSettings): Either<Refusal, Unit> {
        val held = held[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return isolated().left()
        if (!held.limiter.tryStart()) return rateLimited(held.limiter.expectedWaitForStart()).left()
        return admitted(held).right()
    }

    /** Admits a request of [account], possibly after a wait, or refuses it as not run if the wait exceeds [maxWait]. */
    public suspend fun admit(
        account: AccountSettings,
        maxWait: Duration,
    ): Either<Refusal, Unit> {
        val held = held[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return isolated().left()
        if (!held.limiter.acquire(maxWait)) return rateLimited(held.limiter.expectedWait()).left()
        return admitted(held).right()
    }

    private fun admitted(account: HeldAccount) {
        if (account.bucket.isReportDue(account.replicaCount)) reporter.reportSoon()
    }

    /** Takes up to [wanted] tokens of [account] for another gateway to use later, and returns their number. */
    internal fun lend(
        account: ClientAccountId,
        wanted: Int,
    ): Int {
        val held = held[account] ?: return 0
        if (reporter.isIsolated) return 0
        return held.limiter.lend(wanted).also { admitted(held) }
    }

    /** Whether tokens of [account] that are lent now may be used to start programs. */
    internal fun allowsStarts(account: ClientAccountId): Boolean = held[account]?.limiter?.isReserveComplete() == true

    /** Returns [tokens] of requests of [account] that were admitted but did not run. */
    public fun refund(
        account: ClientAccountId,
        tokens: Int = 1,
    ) {
        held[account]?.bucket?.refund(tokens)
    }

    /** Records the requests that another gateway reports as admitted. */
    public fun recordPeerUsage(heartbeat: FleetHeartbeat) {
        val now = clock.elapsed()
        val sender = heartbeat.sender
        for (usage in heartbeat.accountUsage) {
            val bucket = held[usage.account]?.bucket ?: continue
            bucket.recordPeerUsage(sender.gateway, sender.incarnation.value, usage.admitted, now)
        }
    }

    /** Records that [peer] has stopped reporting. */
    public fun peerUnresponsive(peer: GatewayId) {
        val now = clock.elapsed()
        held.values
            .filter { peer in it.others }
            .forEach { it.bucket.peerUnresponsive(peer, it.replicaCount, now) }
    }

    private fun isolated(): Refusal =
        Refusal(
            RefusalCode.GATEWAY_STALE,
            Execution.NOT_RUN,
            "The gateway receives no heartbeats from other gateways.",
            ISOLATED_RETRY_MS,
        )

    private companion object {
        private const val ISOLATED_RETRY_MS = 500L

        /** Keeps a heartbeat well below the largest datagram. */
        private const val MAX_REPORTED_ACCOUNTS = 64
    }
}
