package org.chestnutloom.edge.fleet

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.edge.budget.BudgetClaim
import org.chestnutloom.edge.budget.BudgetKey
import org.chestnutloom.edge.budget.BudgetPeers
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.TrimBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Asks the other gateways of the fleet to record what they have spent of budgets. */
internal class FleetBudgetPeers(
    private val fleet: Fleet,
    private val links: PeerLinks,
) : BudgetPeers {
    override suspend fun settle(
        key: BudgetKey,
        claims: List<BudgetClaim>,
    ): Boolean {
        val holders = fleet.peers.filter { peer -> claims.any { isHeldBy(it, peer.member) } }
        val replies = coroutineScope { holders.map { async { requestSettlement(it, key) } }.awaitAll() }
        return replies.all { it }
    }

    override fun goneFor(claim: BudgetClaim): Duration? = fleet.goneFor(claim.gateway, claim.incarnation)

    private suspend fun requestSettlement(
        holder: Peer,
        key: BudgetKey,
    ): Boolean =
        !holder.isUnresponsive &&
            links.request(holder.member, TrimBudget(key.program, key.account), SETTLE_TIMEOUT).getOrNull() == Done

    private fun isHeldBy(
        claim: BudgetClaim,
        member: Member,
    ): Boolean = claim.gateway == member.gateway && claim.incarnation == member.incarnation

    private companion object {
        private val SETTLE_TIMEOUT = 400.milliseconds
    }
}
