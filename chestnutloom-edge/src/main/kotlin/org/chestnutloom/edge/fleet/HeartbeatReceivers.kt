package org.chestnutloom.edge.fleet

import kotlin.random.Random

/** Selects the peers that get the next heartbeat: all neighbors, and others in turn up to a fixed number. */
internal class HeartbeatReceivers(
    private val random: Random,
) {
    private val upcoming = ArrayDeque<Peer>()

    /** Returns the receivers of the next heartbeat among [peers]. */
    fun next(peers: Collection<Peer>): List<Peer> {
        val neighbors = peers.filter { it.isNeighbor }
        val others = peers.size - neighbors.size
        val count = (FleetTopology.HEARTBEAT_FANOUT - neighbors.size).coerceIn(0, others)
        return neighbors + List(count) { nextOther(peers) }
    }

    /** Returns the next peer of a random order that contains each of [peers] but the neighbors once. */
    private fun nextOther(peers: Collection<Peer>): Peer {
        while (true) {
            if (upcoming.isEmpty()) upcoming += peers.filterNot { it.isNeighbor }.shuffled(random)
            val next = upcoming.removeFirst()
            if (!next.isNeighbor && next in peers) return next
        }
    }
}
