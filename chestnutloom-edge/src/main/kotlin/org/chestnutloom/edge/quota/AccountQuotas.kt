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

/** Admits requests within the rate and burst of their client account; used on the event loop only. */
public class AccountQuotas(
    private val clock: Clock,
    private val reporter: UsageReporter,
) {
    private val gates = HashMap<ClientAccountId, AccountRateLimiter>()

    /** Returns what this gateway admitted so far, for a report to the other gateways. */
    public fun report(): List<AccountUsage> =
        gates.map { (account, gate) ->
            AccountUsage(account, gate.meter.report())
        }

    /** Puts the limits of [configuration] in force. */
    public fun configure(configuration: EdgeConfiguration) {
        gates.keys.retainAll { configuration.accountsById[it]?.limit != null }
        configuration.accounts.orEmpty().forEach(::configure)
    }

    /** Admits the first request of a program of [account], or refuses it as not run. */
    public fun admitProgramStart(account: AccountSettings): Either<Refusal, Unit> {
        val gate = gates[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return cutOff().left()
        return if (gate.tryAcquireStart()) admitted(gate).right() else overRate(gate.expectedWaitForStart()).left()
    }

    /** Admits a request of [account], after waiting if [maxWait] is likely to be enough, or refuses it as not run. */
    public suspend fun admit(
        account: AccountSettings,
        maxWait: Duration,
    ): Either<Refusal, Unit> {
        val gate = gates[account.id] ?: return Unit.right()
        if (reporter.isIsolated) return cutOff().left()
        return if (gate.acquire(maxWait)) admitted(gate).right() else overRate(gate.expectedWait()).left()
    }

    private fun admitted(gate: AccountRateLimiter) {
        if (gate.meter.isReportDue(reporter.fleetSize)) reporter.reportSoon()
    }

    /** Gives back what [account] used for a request that did not run. */
    public fun refund(account: AccountSettings) {
        gates[account.id]?.meter?.refund()
    }

    /** Takes note of what another gateway admitted. */
    public fun recordPeerUsage(beat: FleetHeartbeat) {
        val now = clock.elapsed()
        beat.accountUsage.forEach {
            gates[it.account]?.meter?.recordPeerUsage(
                beat.gateway,
                beat.incarnation.value,
                it.admitted,
                now,
            )
        }
    }

    /** Takes note that [peer], one of [fleetSize] gateways, has stopped reporting. */
    public fun peerSilent(
        peer: GatewayId,
        fleetSize: Int,
    ) {
        val now = clock.elapsed()
        gates.values.forEach { it.meter.peerSilent(peer, fleetSize, now) }
    }

    /** Takes note that [peer] is no gateway any more. */
    public fun peerUnregistered(peer: GatewayId) {
        val now = clock.elapsed()
        gates.values.forEach { it.meter.peerUnregistered(peer, now) }
    }

    private fun configure(account: AccountSettings) {
        val limit = account.limit ?: return
        val now = clock.elapsed()
        val known = gates[account.id]
        if (known != null) return known.meter.resize(limit, now)
        gates[account.id] = AccountRateLimiter(AccountTokenBucket(limit, now), clock)
    }

    private fun overRate(expectedWait: Duration): Refusal {
        val retryAfterMs = expectedWait.inWholeMilliseconds.coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
        return Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "the account is over its rate", retryAfterMs)
    }

    private fun cutOff(): Refusal =
        Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, "no other gateway is heard", CUT_OFF_RETRY_MS)

    private companion object {
        private const val CUT_OFF_RETRY_MS = 500L
        private const val SHORTEST_RETRY_MS = 20L
        private const val LONGEST_RETRY_MS = 2_000L
    }
}
