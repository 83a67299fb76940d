package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RightsHolder

private val logger = KotlinLogging.logger {}

/** Moves shares of client accounts' rates to the gateways that borrow tokens. */
internal class ShareBalancer(
    private val settings: GatewaySettings,
    private val fleet: FleetDirectory,
    private val rightsTable: RightsTable,
    private val notifier: PeerNotifier,
) {
    /** Moves a part of this gateway's share to the gateway that borrows most often, in proportion to its demand. */
    suspend fun rebalance(rights: AccountRights) {
        val (peer, demand) = rights.peerDemand.maxByOrNull { it.value } ?: return
        val receiver = holderOf(peer) ?: return
        val total = rights.ownDemand.get() + rights.peerDemand.values.sum()
        val permille = (rights.held.sharePermille * demand / total / SMOOTHING_DIVISOR).toInt()
        if (permille < MIN_MOVE_PERMILLE) return
        rightsTable.transfer(rights, receiver, permille).fold(
            { logger.warnEvent("rights_not_moved", "account" to rights.account, "cause" to it) },
            {
                logger.event("rights_moved", "account" to rights.account, "to" to peer, "permille" to permille)
                notifier.notifyOfRights(peer, rights.account)
            },
        )
    }

    /** Decays the recorded demand so that recent demand has more weight. */
    fun decayDemand(rights: AccountRights) {
        rights.ownDemand.updateAndGet { it / DECAY_DIVISOR }
        rights.peerDemand.keys.forEach { peer -> rights.peerDemand.computeIfPresent(peer) { _, old -> decayed(old) } }
    }

    private fun decayed(demand: Long): Long? = (demand / DECAY_DIVISOR).takeIf { it > 0 }

    private fun holderOf(peer: GatewayId): RightsHolder? =
        peer
            .takeIf { it in fleet.livePeers() && it != settings.id }
            ?.let { fleet.leases[it] }
            ?.let { RightsHolder(peer, it.record.incarnation) }

    private companion object {
        const val SMOOTHING_DIVISOR = 2
        const val DECAY_DIVISOR = 2
        const val MIN_MOVE_PERMILLE = 20
    }
}
