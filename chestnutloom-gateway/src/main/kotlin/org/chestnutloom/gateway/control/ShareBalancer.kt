package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RightsHolder

private val logger = KotlinLogging.logger {}

/** Moves shares of client accounts to the gateways that ask for tokens. */
internal class ShareBalancer(
    private val settings: GatewaySettings,
    private val fleet: FleetDirectory,
    private val rows: RightsTable,
    private val notifier: PeerNotifier,
) {
    /** Gives a part of this gateway's share to the gateway that asked most, in proportion to the demand of both. */
    suspend fun rebalance(rights: AccountRights) {
        val (peer, demand) = rights.peerDemand.maxByOrNull { it.value } ?: return
        val receiver = holderOf(peer) ?: return
        val total = rights.ownDemand.get() + rights.peerDemand.values.sum()
        val permille = (rights.held.sharePermille * demand / total / SMOOTHING).toInt()
        if (permille < MIN_MOVE_PERMILLE) return
        rows.give(rights, receiver, permille).fold(
            { logger.warnEvent("rights_not_moved", "account" to rights.account, "cause" to it) },
            {
                logger.event("rights_moved", "account" to rights.account, "to" to peer, "permille" to permille)
                notifier.tellOfRights(peer, rights.account)
            },
        )
    }

    /** Lets demand fade, so that newer demand counts more. */
    fun forgetDemand(rights: AccountRights) {
        rights.ownDemand.updateAndGet { it / FADING }
        rights.peerDemand.keys.forEach { peer -> rights.peerDemand.computeIfPresent(peer) { _, old -> faded(old) } }
    }

    private fun faded(demand: Long): Long? = (demand / FADING).takeIf { it > 0 }

    private fun holderOf(peer: GatewayId): RightsHolder? =
        peer
            .takeIf { it in fleet.steadyPeers() && it != settings.id }
            ?.let { fleet.leases[it] }
            ?.let { RightsHolder(peer, it.record.incarnation) }

    private companion object {
        const val SMOOTHING = 2
        const val FADING = 2
        const val MIN_MOVE_PERMILLE = 20
    }
}
