package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.NoticeRights
import org.chestnutloom.wire.message.NoticeVersions

private val logger = KotlinLogging.logger {}

/** Notifies other gateways of changed rows in the table service, so that they do not wait for their next poll. */
internal class PeerNotifier(
    private val settings: GatewaySettings,
    private val fleet: FleetDirectory,
) {
    /** Sends [notice] to all other gateways, and returns once each has reread the rows or timed out. */
    suspend fun notifyPeers(notice: NoticeVersions) {
        coroutineScope {
            fleet.all().values.forEach { link -> launch { send(link, notice) } }
        }
    }

    /** Notifies gateway [peer] that it has received a share of the rights of [account]. */
    suspend fun notifyOfRights(
        peer: GatewayId,
        account: ClientAccountId,
    ) {
        fleet.link(peer)?.let { send(it, NoticeRights(account)) }
    }

    private suspend fun send(
        link: PeerLink,
        notice: LinkRequest,
    ) {
        try {
            withTimeoutOrNull(settings.renewInterval) { link.request(notice).firstOrNull() }
        } catch (exception: LinkException) {
            logger.warnEvent("notice_failed", "peer" to link.address, "cause" to exception.failure)
        }
    }
}
