package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.id.GatewayId
import org.chestnutloom.platform.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The other gateways: who they are, and what they said last; used on the event loop only. */
public class Fleet(
    private val self: Member,
    private val loop: EdgeLoop,
    private val clock: Clock,
    private val source: BeatSource,
    private val listener: FleetListener,
) {
    private val scope: CoroutineScope = loop.scope
    private val peersById = LinkedHashMap<GatewayId, Peer>()
    private val socket = BeatSocket(self.address, loop, ::beatArrived)
    private var sequence = 0L
    private var isBeatDue = false

    /** The other gateways that are registered. */
    public val peers: Collection<Peer>
        get() = peersById.values

    /** Gateways of the fleet, this one included. */
    public val size: Int
        get() = peersById.size + 1

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
    public fun replaceAll(members: Collection<Member>) {
        val others = members.filter { it.gateway != self.gateway }
        (peersById.keys - others.map { it.gateway }.toSet()).forEach(::remove)
        others.forEach(::update)
    }

    /** Takes note of a gateway that registered. */
    public fun update(member: Member) {
        if (member.gateway == self.gateway) return
        val known = peersById[member.gateway]
        if (known == null) {
            peersById[member.gateway] = Peer(member, clock.elapsed())
            logger.event("peer_found", "gateway" to member.gateway, "address" to member.address.host)
        } else {
            known.member = member
        }
    }

    /** Takes note that the gateway called [id] is no longer registered. */
    public fun remove(id: GatewayId) {
        peersById.remove(id) ?: return
        logger.event("peer_gone", "gateway" to id)
        listener.peerGone(id)
    }

    /** Sends a beat before the next regular one; several wishes within a moment make one beat. */
    public fun beatSoon() {
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
        socket.send(source.current(++sequence), peersById.values.map { it.member.address })
    }

    private fun noteSilence() {
        val now = clock.elapsed()
        for (peer in peersById.values) {
            if (peer.isSilent || now - peer.heardAt < SILENCE) continue
            peer.isSilent = true
            logger.event(
                "peer_silent",
                "gateway" to peer.member.gateway,
                "age_ms" to (now - peer.heardAt).inWholeMilliseconds,
            )
            listener.peerSilent(peer)
        }
    }

    private fun beatArrived(beat: FleetBeat) {
        val peer = peersById[beat.gateway] ?: return
        val last = peer.lastBeat
        if (last != null && last.incarnation == beat.incarnation && last.sequence >= beat.sequence) return
        peer.lastBeat = beat
        peer.heardAt = clock.elapsed()
        if (peer.isSilent) logger.event("peer_heard", "gateway" to beat.gateway)
        peer.isSilent = false
        listener.beatArrived(peer, beat)
    }

    private companion object {
        private val BEAT_INTERVAL = 100.milliseconds
        private val SOON = 10.milliseconds

        /** Longer than datagrams are ever lost in a row on a link that works. */
        private val SILENCE = 450.milliseconds
    }
}
