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
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Enforces the rate limits of client accounts; confined to the event loop. */
public class AccountQuotas(
    private val clock: Clock,
    private val reporter: UsageReporter,
) {
    private val limiters = HashMap<ClientAccountId, AccountRateLimiter>()

    /** Returns the totals of admitted requests, and marks them as reported to the other gateways. */
    public fun report(): List<AccountUsage> =
        limiters.map { (account, limiter) -> AccountUsage(account, limiter.bucket.report()) }

    /** Applies the rate limits of [configuration]. */
    public fun configure(configuration: EdgeConfiguration) {
        limiters.keys.retainAll { configuration.accountsById[it]?.limit != null }
        configuration.accounts.orEmpty().forEach(::configure)
    }

    /** Admits the first request of a program of [account], or refuses it as not run. */
    public fun admitProgramStart(account: AccountSettings): Either<Refusal, Unit> {
        val limiter = limiters[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return isolated().left()
        return if (limiter.tryStart()) admitted(limiter).right() else rateLimited(limiter.expectedWaitForStart()).left()
    }

    /** Admits a request of [account], possibly after a wait, or refuses it as not run if the wait exceeds [maxWait]. */
    public suspend fun admit(
        account: AccountSettings,
        maxWait: Duration,
    ): Either<Refusal, Unit> {
        val limiter = limiters[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return isolated().left()
        return if (limiter.acquire(maxWait)) admitted(limiter).right() else rateLimited(limiter.expectedWait()).left()
    }

    private fun admitted(limiter: AccountRateLimiter) {
        if (limiter.bucket.isReportDue(reporter.fleetSize)) reporter.reportSoon()
    }

    /** Returns the token of a request of [account] that was admitted but did not run. */
    public fun refund(account: AccountSettings) {
        limiters[account.id]?.bucket?.refund()
    }

    /** Records the requests that another gateway reports as admitted. */
    public fun recordPeerUsage(heartbeat: FleetHeartbeat) {
        val now = clock.elapsed()
        heartbeat.accountUsage.forEach {
            limiters[it.account]?.bucket?.recordPeerUsage(
                heartbeat.gateway,
                heartbeat.incarnation.value,
                it.admitted,
                now,
            )
        }
    }

    /** Records that [peer], one of [fleetSize] gateways, has stopped reporting. */
    public fun peerUnresponsive(
        peer: GatewayId,
        fleetSize: Int,
    ) {
        val now = clock.elapsed()
        limiters.values.forEach { it.bucket.peerUnresponsive(peer, fleetSize, now) }
    }

    /** Removes the usage of [peer], which is no longer registered. */
    public fun peerUnregistered(peer: GatewayId) {
        val now = clock.elapsed()
        limiters.values.forEach { it.bucket.peerUnregistered(peer, now) }
    }

    private fun configure(account: AccountSettings) {
        val limit = account.limit ?: return
        val now = clock.elapsed()
        val known = limiters[account.id]
        if (known != null) return known.bucket.resize(limit, now)
        limiters[account.id] = AccountRateLimiter(AccountTokenBucket(limit, now), clock)
    }

    private fun rateLimited(expectedWait: Duration): Refusal {
        val retryAfterMs = expectedWait.inWholeMilliseconds.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        return Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "The account exceeds its rate limit.", retryAfterMs)
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
        private const val MIN_RETRY_MS = 20L
        private const val MAX_RETRY_MS = 2_000L
    }
}
