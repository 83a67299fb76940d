package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The other gateways: who they are, and what they said last; used on the event loop only. */
public class Fleet(
    private val self: Member,
    private val loop: EdgeLoop,
    private val clock: Clock,
    private val source: FleetHeartbeatSource,
    private val listener: FleetListener,
) {
    private val scope: CoroutineScope = loop.scope
    private val peersById = LinkedHashMap<GatewayId, Peer>()
    private val socket = FleetHeartbeatSocket(self.address, loop, ::heartbeatReceived)
    private var isBeatDue = false

    /** The number of the newest beat that was sent. */
    internal var lastSequence: Long = 0L
        private set

    /** The other gateways that are registered. */
    public val peers: Collection<Peer>
        get() = peersById.values

    /** Gateways of the fleet, this one included. */
    public val size: Int
        get() = peersById.size + 1

    /** Whether it was read which gateways are registered. */
    public var isMembershipKnown: Boolean = false
        private set

    /** The version of this gateway's own row, or null while it is not registered. */
    public var ownRowVersion: Long? = null
        private set

    /** Whether no other gateway was heard for so long that they may have gone on without this one. */
    public val isIsolated: Boolean
        get() = peersById.isNotEmpty() && peersById.values.all { it.missedHeartbeats >= CUT_OFF_BEATS }

    /** Starts to send and take beats. */
    public fun start() {
        socket.start()
        scope.launch { beat() }
    }

    /** Stops sending and taking beats. */
    public fun stop() {
        socket.stop()
    }

    /** Takes [members] as all that are registered. */
    public fun replaceAll(members: Collection<RegisteredMember>) {
        isMembershipKnown = true
        val ids = members.map { it.member.gateway }.toSet()
        (peersById.keys - ids).forEach(::remove)
        if (self.gateway !in ids) removeSelf()
        members.forEach(::update)
    }

    /** Takes note of a gateway that registered. */
    public fun update(registered: RegisteredMember) {
        val member = registered.member
        if (member.gateway == self.gateway) return updateSelf(registered)
        val known = peersById[member.gateway]
        if (known == null) {
            peersById[member.gateway] = Peer(registered, clock.elapsed())
            logger.event("peer_found", "gateway" to member.gateway, "address" to member.address.host)
        } else {
            known.registered = registered
            // Whoever wrote the row lives, although its first beat may still be on the way.
            known.missedHeartbeats = 0
        }
    }

    private fun updateSelf(registered: RegisteredMember) {
        if (registered.member.incarnation == self.incarnation) ownRowVersion = registered.rowVersion
    }

    private fun removeSelf() {
        val wasRegistered = ownRowVersion != null
        ownRowVersion = null
        if (wasRegistered) listener.selfUnregistered()
    }

    /** Takes note that the gateway called [id] is no longer registered. */
    public fun remove(id: GatewayId) {
        if (id == self.gateway) return removeSelf()
        peersById.remove(id) ?: return
        logger.event("peer_gone", "gateway" to id)
        listener.peerUnregistered(id)
    }

    /** Sends a beat before the next regular one; several wishes within a moment make one beat. */
    public fun sendHeartbeatSoon() {
        if (isBeatDue) return
        isBeatDue = true
        scope.launch {
            delay(SOON)
            isBeatDue = false
            sendBeats()
        }
    }

    private suspend fun beat() {
        while (scope.isActive) {
            delay(BEAT_INTERVAL)
            sendBeats()
            noteSilence()
        }
    }

    private fun sendBeats() {
        if (peersById.isEmpty()) return
        socket.send(source.current(++lastSequence), peersById.values.map { it.member.address })
    }

    private fun noteSilence() {
        val now = clock.elapsed()
        for (peer in peersById.values.toList()) {
            when {
                peer.isSilent -> noteLoss(peer)
                now - peer.heardAt >= SILENCE -> noteSilence(peer, now)
            }
        }
    }

    private fun noteSilence(
        peer: Peer,
        now: Duration,
    ) {
        peer.isSilent = true
        val age = now - peer.heardAt
        logger.event("peer_silent", "gateway" to peer.member.gateway, "age_ms" to age.inWholeMilliseconds)
        listener.peerSilent(peer)
    }

    /** Only a gateway that hears others can tell that the silent one is lost, rather than itself. */
    private fun noteLoss(peer: Peer) {
        peer.missedHeartbeats++
        val isDue = peer.missedHeartbeats >= LOST_BEATS && peer.missedHeartbeats % LOST_REPEAT_BEATS == 0
        if (isDue && peersById.values.any { !it.isSilent }) listener.peerLost(peer)
    }

    private fun heartbeatReceived(beat: FleetHeartbeat) {
        val peer = peersById[beat.gateway] ?: return
        val last = peer.lastHeartbeat
        if (last != null && last.incarnation == beat.incarnation && last.sequence >= beat.sequence) return
        peer.lastHeartbeat = beat
        peer.heardAt = clock.elapsed()
        if (peer.isSilent) logger.event("peer_heard", "gateway" to beat.gateway)
        peer.isSilent = false
        peer.missedHeartbeats = 0
        listener.heartbeatReceived(peer, beat)
    }

    private companion object {
        private val BEAT_INTERVAL = 100.milliseconds
        private val SOON = 10.milliseconds

        /** Longer than datagrams are ever lost in a row on a link that works. */
        private val SILENCE = 450.milliseconds

        /**
         * Beats after which a silent gateway is lost for good. They are counted, not timed, so that a gateway that was
         * suspended does not take all others for lost when it goes on.
         */
        private const val LOST_BEATS = 100
        private const val LOST_REPEAT_BEATS = 20

        /** A gateway that hears nobody has to give up its share before the others take it for lost. */
        private const val CUT_OFF_BEATS = 70
    }
}
