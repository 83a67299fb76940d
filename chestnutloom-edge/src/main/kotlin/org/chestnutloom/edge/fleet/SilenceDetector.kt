package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Detects peers that are no longer heard; confined to the event loop.
 *
 * Neighbors have to send heartbeats themselves. Of other peers, a state that another gateway relays is enough.
 */
internal class SilenceDetector(
    private val clock: Clock,
    private val listener: FleetListener,
) {
    /** Checks [peers]; called once for each heartbeat interval. */
    fun check(peers: Collection<Peer>) {
        val now = clock.elapsed()
        for (peer in peers) {
            val age = now - if (peer.isNeighbor) peer.lastDirectAt else peer.lastStateAt
            when {
                peer.isUnresponsive -> recordMissedHeartbeat(peer, peers)
                age >= if (peer.isNeighbor) NEIGHBOR_TIMEOUT else RELAYED_TIMEOUT -> markUnresponsive(peer, age)
            }
        }
    }

    /** Records that [peer] was heard. */
    fun heard(peer: Peer) {
        if (peer.isUnresponsive) logger.event("peer_heard", "gateway" to peer.member.gateway)
        peer.isUnresponsive = false
        peer.missedHeartbeats = 0
    }

    private fun markUnresponsive(
        peer: Peer,
        age: Duration,
    ) {
        peer.isUnresponsive = true
        logger.event("peer_silent", "gateway" to peer.member.gateway, "age_ms" to age.inWholeMilliseconds)
        listener.peerUnresponsive(peer)
    }

    /** Reports a failed neighbor only if others are reachable; otherwise this gateway may be the one that is isolated. */
    private fun recordMissedHeartbeat(
        peer: Peer,
        peers: Collection<Peer>,
    ) {
        peer.missedHeartbeats++
        val missed = peer.missedHeartbeats
        val isDue = missed >= FAILED_AFTER_HEARTBEATS && missed % FAILURE_REPORT_INTERVAL_HEARTBEATS == 0
        if (isDue && peer.isNeighbor && peers.any { !it.isUnresponsive }) listener.peerFailed(peer)
    }

    private companion object {
        /** Longer than any run of lost datagrams on a working link. */
        private val NEIGHBOR_TIMEOUT = 450.milliseconds

        /** Relayed states arrive irregularly, and more seldom the larger the fleet is. */
        private val RELAYED_TIMEOUT = 2.seconds

        /**
         * The number of heartbeats that this gateway sends while a peer is unresponsive before the peer counts as failed.
         * Counting heartbeats instead of time prevents a gateway that resumes after a suspension from reporting all
         * others as failed.
         */
        private const val FAILED_AFTER_HEARTBEATS = 100
        private const val FAILURE_REPORT_INTERVAL_HEARTBEATS = 20
    }
}
