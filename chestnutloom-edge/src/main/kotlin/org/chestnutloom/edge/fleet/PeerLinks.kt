package org.chestnutloom.edge.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.LinkHandler
import org.chestnutloom.wire.link.LinkOptions
import org.chestnutloom.wire.link.LinkServer
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.link.linkServer
import org.chestnutloom.wire.link.peerLink
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Request links to the other gateways, opened on first use; confined to the event loop.
 *
 * A link without requests is closed after [idleTimeout], since each open link costs both gateways heartbeats.
 */
internal class PeerLinks(
    private val self: Member,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val idleTimeout: Duration = IDLE_TIMEOUT,
) {
    private val identity = PeerIdentity(self.gateway.value, self.incarnation, PeerRole.GATEWAY)
    private val heartbeats = HeartbeatSource { Heartbeat(sequence = 0) }
    private val links = HashMap<GatewayId, OpenLink>()
    private var server: LinkServer? = null

    /** The number of links that this gateway has opened and not closed yet. */
    val openCount: Int
        get() = links.size

    /** Starts to accept links; [handler] answers their requests. */
    suspend fun start(handler: LinkHandler) {
        val opened = linkServer(self.address, identity, handler, heartbeats, LINK_OPTIONS, clock, scope)
        opened.start()
        server = opened
    }

    /** Stops accepting links. */
    suspend fun stop() {
        server?.stop()
    }

    /** Sends [request] to [peer], and returns the first reply if it arrives within [timeout]. */
    suspend fun request(
        peer: Member,
        request: LinkRequest,
        timeout: Duration,
    ): Either<LinkFailure, LinkReply> {
        val open = linkTo(peer)
        open.requests++
        return try {
            withTimeoutOrNull(timeout) { open.link.request(request).first() }?.right()
                ?: LinkFailure.Lost(peer.address, "no reply within $timeout").left()
        } catch (e: LinkException) {
            e.failure.left()
        } finally {
            open.requests--
            open.lastUsedAt = clock.elapsed()
        }
    }

    /** Closes the link to the gateway [id]. */
    fun close(id: GatewayId) {
        val open = links.remove(id) ?: return
        scope.launch { open.link.close() }
    }

    private fun linkTo(peer: Member): OpenLink {
        links[peer.gateway]?.let { if (it.link.address == peer.address) return it }
        close(peer.gateway)
        val link = peerLink(peer.address, identity, peer.gateway.value, heartbeats, LINK_OPTIONS, clock, scope)
        val open = OpenLink(link, clock.elapsed())
        links[peer.gateway] = open
        scope.launch { closeWhenIdle(peer.gateway, open) }
        return open
    }

    private suspend fun closeWhenIdle(
        id: GatewayId,
        open: OpenLink,
    ) {
        while (links[id] === open) {
            delay(idleTimeout)
            val isIdle = open.requests == 0 && clock.elapsed() - open.lastUsedAt >= idleTimeout
            if (isIdle && links[id] === open) close(id)
        }
    }

    private class OpenLink(
        val link: PeerLink,
        var lastUsedAt: Duration,
    ) {
        /** The number of requests that wait for a reply. */
        var requests = 0
    }

    private companion object {
        private val IDLE_TIMEOUT = 5.seconds
        private val LINK_OPTIONS =
            LinkOptions(heartbeatInterval = 1.seconds, silenceTimeout = 2_500.milliseconds, connectTimeout = 1.seconds)
    }
}
