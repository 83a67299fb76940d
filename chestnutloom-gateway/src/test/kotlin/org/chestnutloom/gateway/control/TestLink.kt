package org.chestnutloom.gateway.control

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.flow.flow
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** An in-process link; a killed peer refuses requests, and an unresponsive one never replies. */
internal class TestLink(
    private val fleet: TestFleet,
    private val from: TestGateway,
    private val to: String,
    override val address: PeerAddress,
) : PeerLink {
    override val peer: PeerIdentity? = null
    override val lastHeartbeat: Heartbeat? = null

    override fun request(request: LinkRequest): Flow<LinkReply> =
        flow {
            delay(LINK_DELAY_MS)
            val target = fleet.gateways[to]
            if (target == null || !target.isRunning) throw LinkException(LinkFailure.Refused(address))
            if (target.isUnresponsive || from.isUnresponsive) awaitCancellation()
            val sender = PeerIdentity(from.id, from.incarnation, PeerRole.GATEWAY)
            emitAll(target.plane.handle(sender, request) ?: emptyFlow())
        }

    override suspend fun close() = Unit

    private companion object {
        const val LINK_DELAY_MS = 1L
    }
}
