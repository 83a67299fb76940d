package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
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

/** Tracks the other registered gateways and detects failures by heartbeats; confined to the event loop. */
public class Fleet(
    private val self: Member,
    private val loop: EdgeLoop,
    private val clock: Clock,
    private val source: FleetHeartbeatSource,
    private val listener: FleetListener,
    metrics: MeterRegistry,
) {
    private val scope: CoroutineScope = loop.scope
    private val peersById = LinkedHashMap<GatewayId, Peer>()
    private val socket = FleetHeartbeatSocket(self.address, loop, HeartbeatMetrics(metrics), ::heartbeatReceived)
    private var isHeartbeatScheduled = false

    /** The sequence number of the last heartbeat that was sent. */
    internal var lastSequence: Long = 0L
        private set

    /** The other gateways that are registered. */
    public val peers: Collection<Peer>
        get() = peersById.values

    /** The number of gateways in the fleet, including this one. */
    public val size: Int
        get() = peersById.size + 1

    /** The number of other gateways whose heartbeats are missing. */
    public val unresponsiveCount: Int
        get() = peersById.values.count { it.isUnresponsive }

    /** Whether the registered gateways have been read from the store at least once. */
    public var isMembershipKnown: Boolean = false
        private set

    /** The version of this gateway's own row, or null while it is not registered. */
    public var ownRowVersion: Long? = null
        private set

    /** Whether every other gateway has been silent for so long that they may have unregistered this one. */
    public val isIsolated: Boolean
        get() = peersById.isNotEmpty() && peersById.values.all { it.missedHeartbeats >= ISOLATED_AFTER_HEARTBEATS }

    /** Starts to send and receive heartbeats. */
    public fun start() {
        socket.start()
        scope.launch { runHeartbeats() }
    }

    /** Stops receiving heartbeats; those sent afterwards are dropped. */
    public fun stop() {
        socket.stop()
    }

    /** Replaces the known members by [members], the complete list of registered gateways. */
    public fun replaceAll(members: Collection<RegisteredMember>) {
        isMembershipKnown = true
        val ids = members.map { it.member.gateway }.toSet()
        (peersById.keys - ids).forEach(::remove)
        if (self.gateway !in ids) removeSelf()
        members.forEach(::update)
    }

    /** Adds or updates a registered gateway. */
    public fun update(registered: RegisteredMember) {
        val member = registered.member
        if (member.gateway == self.gateway) return updateSelf(registered)
        val known = peersById[member.gateway]
        if (known == null) {
            peersById[member.gateway] = Peer(registered, clock.elapsed())
            logger.event("peer_found", "gateway" to member.gateway, "address" to member.address.host)
        } else {
            known.registered = registered
            // The gateway has just written its row, so it is alive even if its first heartbeat has not arrived yet.
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

    /** Removes the gateway [id], which is no longer registered. */
    public fun remove(id: GatewayId) {
        if (id == self.gateway) return removeSelf()
        peersById.remove(id) ?: return
        logger.event("peer_gone", "gateway" to id)
        listener.peerUnregistered(id)
    }

    /** Sends a heartbeat before the next regular one. Requests within a short delay are coalesced. */
    public fun sendHeartbeatSoon() {
        if (isHeartbeatScheduled) return
        isHeartbeatScheduled = true
        scope.launch {
            delay(COALESCING_DELAY)
            isHeartbeatScheduled = false
            sendHeartbeats()
        }
    }

    private suspend fun runHeartbeats() {
        while (scope.isActive) {
            delay(HEARTBEAT_INTERVAL)
            sendHeartbeats()
            checkSilence()
        }
    }

    private fun sendHeartbeats() {
        if (peersById.isEmpty()) return
        socket.send(source.current(++lastSequence), peersById.values.map { it.member.address })
    }

    private fun checkSilence() {
        val now = clock.elapsed()
        for (peer in peersById.values.toList()) {
            when {
                peer.isUnresponsive -> recordMissedHeartbeat(peer)
                now - peer.lastHeartbeatAt >= SILENCE_TIMEOUT -> markUnresponsive(peer, now)
            }
        }
    }

    private fun markUnresponsive(
        peer: Peer,
        now: Duration,
    ) {
        peer.isUnresponsive = true
        val age = now - peer.lastHeartbeatAt
        logger.event("peer_silent", "gateway" to peer.member.gateway, "age_ms" to age.inWholeMilliseconds)
        listener.peerUnresponsive(peer)
    }

    /** Reports a failed peer only if others are reachable; otherwise this gateway may be the one that is isolated. */
    private fun recordMissedHeartbeat(peer: Peer) {
        peer.missedHeartbeats++
        val missed = peer.missedHeartbeats
        val isDue = missed >= FAILED_AFTER_HEARTBEATS && missed % FAILURE_REPORT_INTERVAL_HEARTBEATS == 0
        if (isDue && peersById.values.any { !it.isUnresponsive }) listener.peerFailed(peer)
    }

    private fun heartbeatReceived(heartbeat: FleetHeartbeat) {
        val peer = peersById[heartbeat.gateway] ?: return
        val last = peer.lastHeartbeat
        if (last != null && last.incarnation == heartbeat.incarnation && last.sequence >= heartbeat.sequence) return
        peer.lastHeartbeat = heartbeat
        peer.lastHeartbeatAt = clock.elapsed()
        if (peer.isUnresponsive) logger.event("peer_heard", "gateway" to heartbeat.gateway)
        peer.isUnresponsive = false
        peer.missedHeartbeats = 0
        listener.heartbeatReceived(peer, heartbeat)
    }

    private companion object {
        private val HEARTBEAT_INTERVAL = 100.milliseconds
        private val COALESCING_DELAY = 10.milliseconds

        /** Longer than any run of lost datagrams on a working link. */
        private val SILENCE_TIMEOUT = 450.milliseconds

        /**
         * The number of heartbeats that this gateway sends to an unresponsive peer before the peer counts as failed.
         * Counting heartbeats instead of time prevents a gateway that resumes after a suspension from reporting all
         * others as failed.
         */
        private const val FAILED_AFTER_HEARTBEATS = 100
        private const val FAILURE_REPORT_INTERVAL_HEARTBEATS = 20

        /** An isolated gateway must give up its rate share before others report it as failed. */
        private const val ISOLATED_AFTER_HEARTBEATS = 70
    }
}
