package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.Clock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Tracks the other registered gateways and exchanges heartbeats with them; confined to the event loop.
 *
 * At each interval a gateway sends one heartbeat to a fixed number of peers, so that the cost does not grow with the
 * fleet. Outside a full mesh, a heartbeat also relays states of other gateways, so that all of them spread through the
 * fleet within a few intervals.
 */
public class Fleet(
    private val self: Member,
    private val transport: FleetTransport,
    private val source: FleetHeartbeatSource,
    private val listener: FleetListener,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private val peersById = LinkedHashMap<GatewayId, Peer>()
    private val departed = DepartedIncarnations(clock)
    private val silence = SilenceDetector(clock, listener)
    private val receivers = HeartbeatReceivers(random)
    private val toRelay = LinkedHashSet<Peer>()
    private var topology = FleetTopology(self.gateway, emptyMap())
    private var isHeartbeatScheduled = false

    /** The sequence number of the last heartbeat that was sent. */
    internal var lastSequence: Long = 0L
        private set

    /** The other gateways that are registered. */
    public val peers: Collection<Peer>
        get() = peersById.values

    /**
     * The other gateways in the order in which they follow this one on the hash ring. Each gateway turns to the first of
     * them, so that it needs links to a few gateways only, and each gateway serves equally many others.
     */
    internal val peersInRingOrder: List<Peer>
        get() = topology.others.mapNotNull(peersById::get)

    /** The number of gateways in the fleet, including this one. */
    public val size: Int
        get() = peersById.size + 1

    /** The number of other gateways of which nothing is heard. */
    public val unresponsiveCount: Int
        get() = peersById.values.count { it.isUnresponsive }

    /** Whether the registered gateways, with this one among them, have been read from the store at least once. */
    public var isMembershipKnown: Boolean = false
        private set

    /** The version of this gateway's own row, or null while it is not registered. */
    public var ownRowVersion: Long? = null
        private set

    /** Whether tokens of accounts are prefetched, because the fleet is large and its gateways differ in capacity. */
    internal val isQuotaPrefetchEnabled: Boolean
        get() = topology.isPrefetchEnabled

    /** Whether every other gateway has been silent for so long that they may have unregistered this one. */
    public val isIsolated: Boolean
        get() = peersById.isNotEmpty() && peersById.values.all { it.missedHeartbeats >= ISOLATED_AFTER_HEARTBEATS }

    /** Returns the other gateway with this [id] if it is registered. */
    public fun peer(id: GatewayId): Peer? = peersById[id]

    /**
     * Returns the gateways that enforce the rate limit of [account], the preferred one first; none until the registered
     * gateways are known.
     */
    public fun replicasOf(account: ClientAccountId): ImmutableList<GatewayId> =
        if (isMembershipKnown) topology.replicasOf(account) else persistentListOf()

    /** Returns all gateways, this one included, in the order in which they follow [key] on the hash ring. */
    internal fun successorsOf(key: String): ImmutableList<GatewayId> = topology.successorsOf(key)

    /** Returns for how long [incarnation] of [gateway] is known not to be registered, or null if it is registered. */
    internal fun goneFor(
        gateway: GatewayId,
        incarnation: Incarnation,
    ): Duration? {
        if (!isMembershipKnown) return Duration.ZERO
        val isRegistered = peersById[gateway]?.member?.incarnation == incarnation
        return if (isRegistered) null else departed.goneFor(gateway, incarnation)
    }

    /** Sends heartbeats until the scope ends. */
    public fun start() {
        scope.launch { runHeartbeats() }
    }

    /** Replaces the known members by [members], the complete list of registered gateways. */
    public fun replaceAll(members: Collection<RegisteredMember>) {
        val ids = members.map { it.member.gateway }.toSet()
        (peersById.keys - ids).forEach(::removePeer)
        if (self.gateway !in ids) removeSelf()
        members.forEach(::put)
        updateTopology()
    }

    /** Adds or updates a registered gateway. */
    public fun update(registered: RegisteredMember) {
        val before = processorShares
        put(registered)
        if (processorShares != before) updateTopology()
    }

    /** Removes the gateway [id], which is no longer registered. */
    public fun remove(id: GatewayId) {
        if (id == self.gateway) removeSelf() else removePeer(id)
        updateTopology()
    }

    /** The registered gateways, including this one if it is registered. */
    internal val registeredGateways: Set<GatewayId>
        get() = if (ownRowVersion == null) peersById.keys.toSet() else peersById.keys + self.gateway

    private val processorShares: Map<GatewayId, Double>
        get() {
            val shares = peersById.mapValues { it.value.member.processorShare }
            return if (ownRowVersion == null) shares else shares + (self.gateway to self.processorShare)
        }

    private fun put(registered: RegisteredMember) {
        val member = registered.member
        if (member.gateway == self.gateway) return updateSelf(registered)
        val known = peersById[member.gateway]
        if (known == null) {
            peersById[member.gateway] = Peer(registered, clock.elapsed())
            logger.event("peer_found", "gateway" to member.gateway, "address" to member.address.host)
        } else {
            if (member.incarnation != known.member.incarnation) {
                departed.add(member.gateway, known.member.incarnation)
                forgetOldIncarnation(known, member.incarnation)
            }
            known.registered = registered
            // The gateway has just written its row, so it is alive even if its first heartbeat has not arrived yet.
            known.missedHeartbeats = 0
        }
    }

    /** Drops the state of a peer that has registered as [started] unless it is from that incarnation. */
    private fun forgetOldIncarnation(
        peer: Peer,
        started: Incarnation,
    ) {
        if (peer.state?.incarnation == started) return
        peer.state = null
        listener.stateChanged(peer)
    }

    private fun updateSelf(registered: RegisteredMember) {
        if (registered.member.incarnation != self.incarnation) return
        ownRowVersion = registered.rowVersion
        isMembershipKnown = true
    }

    private fun removeSelf() {
        val wasRegistered = ownRowVersion != null
        ownRowVersion = null
        if (wasRegistered) listener.selfUnregistered()
    }

    private fun removePeer(id: GatewayId) {
        val removed = peersById.remove(id) ?: return
        toRelay -= removed
        departed.add(id, removed.member.incarnation)
        logger.event("peer_gone", "gateway" to id)
        listener.peerUnregistered(id)
    }

    private fun updateTopology() {
        topology = FleetTopology(self.gateway, processorShares)
        for (peer in peersById.values) {
            val isNeighbor = peer.member.gateway in topology.neighbors
            // A new neighbor has not been sending every heartbeat to this gateway so far.
            if (isNeighbor && !peer.isNeighbor) peer.lastDirectAt = clock.elapsed()
            peer.isNeighbor = isNeighbor
        }
        listener.topologyChanged()
    }

    /** Sends a heartbeat to the neighbors before the next regular one. Requests within a short delay are coalesced. */
    public fun sendHeartbeatSoon() {
        if (isHeartbeatScheduled) return
        isHeartbeatScheduled = true
        scope.launch {
            delay(COALESCING_DELAY)
            isHeartbeatScheduled = false
            send(peersById.values.filter { it.isNeighbor }, relayed = emptyList())
        }
    }

    private suspend fun runHeartbeats() {
        while (scope.isActive) {
            delay(HEARTBEAT_INTERVAL)
            runHeartbeat()
        }
    }

    /** Sends a heartbeat; one that fails must not end the next ones, or the fleet would take this gateway for failed. */
    private fun runHeartbeat() {
        try {
            send(receivers.next(peersById.values), takeRelayedStates())
            silence.check(peersById.values.toList())
        } catch (e: RuntimeException) {
            logger.warnEvent("heartbeat_failed", "cause" to e.javaClass.simpleName, "detail" to e.stackTraceToString())
        }
    }

    private fun send(
        receivers: List<Peer>,
        relayed: List<GatewayState>,
    ) {
        if (receivers.isEmpty()) return
        transport.send(source.current(++lastSequence, relayed), receivers.map { it.member.address })
    }

    /** Returns a part of the states that arrived since the last call, of those peers first that were relayed least recently. */
    private fun takeRelayedStates(): List<GatewayState> {
        val arrived = toRelay.shuffled(random)
        toRelay.clear()
        val relayed = arrived.sortedBy { it.relayedAtSequence }.take(topology.relayedStates)
        relayed.forEach { it.relayedAtSequence = lastSequence }
        return relayed.mapNotNull { it.state }
    }

    /** Applies a heartbeat that arrived from another gateway. */
    public fun receive(received: FleetHeartbeat) {
        val heartbeat = received.withFailuresInStates()
        val sender = heartbeat.sender
        val peer = peersById[sender.gateway] ?: return
        val isSameIncarnation = peer.state?.incarnation == sender.incarnation
        if (isSameIncarnation && sender.sequence <= peer.lastDirectSequence) return
        peer.lastDirectSequence = sender.sequence
        peer.lastDirectAt = clock.elapsed()
        if (!isSameIncarnation || isNewer(sender, peer)) applyState(sender, peer)
        silence.heard(peer)
        heartbeat.relayed.forEach(::receiveRelayed)
        listener.heartbeatReceived(peer, heartbeat)
    }

    /** Applies a relayed state, unless it is from another incarnation than the one that is known. */
    private fun receiveRelayed(state: GatewayState) {
        val peer = peersById[state.gateway] ?: return
        val incarnation = peer.state?.incarnation ?: peer.member.incarnation
        if (state.incarnation != incarnation || !isNewer(state, peer)) return
        applyState(state, peer)
        if (!peer.isNeighbor) silence.heard(peer)
    }

    private fun isNewer(
        state: GatewayState,
        peer: Peer,
    ): Boolean = state.sequence > (peer.state?.sequence ?: 0)

    private fun applyState(
        state: GatewayState,
        peer: Peer,
    ) {
        peer.state = state
        peer.lastStateAt = clock.elapsed()
        toRelay += peer
        listener.stateChanged(peer)
    }

    private companion object {
        private val HEARTBEAT_INTERVAL = 100.milliseconds
        private val COALESCING_DELAY = 10.milliseconds

        /** An isolated gateway must give up its rate share before others report it as failed. */
        private const val ISOLATED_AFTER_HEARTBEATS = 70
    }
}
