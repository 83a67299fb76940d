package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.fleet.AccountUse
import org.chestnutloom.edge.fleet.FleetBeat
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock

/** Admits requests within the rate and burst of their client account; used on the event loop only. */
public class AccountQuotas(
    private val clock: Clock,
    private val reporter: UseReporter,
) {
    private val meters = HashMap<ClientAccountId, AccountMeter>()

    /** Returns what this gateway admitted so far, for a report to the other gateways. */
    public fun report(): List<AccountUse> = meters.map { (account, meter) -> AccountUse(account, meter.report()) }

    /** Puts the limits of [configuration] in force. */
    public fun configure(configuration: EdgeConfiguration) {
        meters.keys.retainAll { configuration.accountsById[it]?.limit != null }
        configuration.accounts.orEmpty().forEach(::configure)
    }

    /** Admits a request of [account], or refuses it as not run. */
    public fun admit(account: AccountSettings): Either<Refusal, Unit> {
        val meter = meters[account.id] ?: return Unit.right()
        val now = clock.elapsed()
        if (meter.tryTake(now)) {
            if (meter.isReportDue(reporter.fleetSize)) reporter.reportSoon()
            return Unit.right()
        }
        val retryAfterMs = meter.timeUntilNext(now).inWholeMilliseconds.coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
        return Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "the account is over its rate", retryAfterMs).left()
    }

    /** Gives back what [account] used for a request that did not run. */
    public fun giveBack(account: AccountSettings) {
        meters[account.id]?.giveBack()
    }

    /** Takes note of what another gateway admitted. */
    public fun peerReported(beat: FleetBeat) {
        val now = clock.elapsed()
        beat.used.forEach { meters[it.account]?.peerReported(beat.gateway, beat.incarnation.value, it.taken, now) }
    }

    /** Takes note that [peer], one of [fleetSize] gateways, has stopped reporting. */
    public fun peerSilent(
        peer: GatewayId,
        fleetSize: Int,
    ) {
        val now = clock.elapsed()
        meters.values.forEach { it.peerSilent(peer, fleetSize, now) }
    }

    /** Takes note that [peer] is no gateway any more. */
    public fun peerGone(peer: GatewayId) {
        val now = clock.elapsed()
        meters.values.forEach { it.peerGone(peer, now) }
    }

    private fun configure(account: AccountSettings) {
        val limit = account.limit ?: return
        val now = clock.elapsed()
        val known = meters[account.id]
        if (known == null) meters[account.id] = AccountMeter(limit, now) else known.resize(limit, now)
    }

    private companion object {
        private const val SHORTEST_RETRY_MS = 20L
        private const val LONGEST_RETRY_MS = 2_000L
    }
}
