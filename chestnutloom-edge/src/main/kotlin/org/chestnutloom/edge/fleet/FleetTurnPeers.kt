package org.chestnutloom.edge.fleet

import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.launch
import org.chestnutloom.edge.turn.TurnPeers
import org.chestnutloom.edge.turn.TurnSearch
import org.chestnutloom.edge.turn.WriterProgress
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.wire.message.CopyTurn
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.FindTurn
import org.chestnutloom.wire.message.TurnFound
import kotlin.time.Duration.Companion.milliseconds

/** Replicates turns to other gateways of the fleet and looks them up there. */
internal class FleetTurnPeers(
    private val self: Member,
    private val fleet: Fleet,
    private val links: PeerLinks,
) : TurnPeers {
    override val ownHeartbeatSequence: Long
        get() = fleet.lastSequence

    override fun reachablePeers(): List<GatewayRun> =
        fleet.peersInRingOrder
            .filterNot { it.isUnresponsive }
            .sortedBy { it.member.failureDomain == self.failureDomain }
            .mapNotNull { it.run }

    override fun writerProgress(run: GatewayRun): WriterProgress? {
        val state = peerOf(run)?.state ?: return null
        return WriterProgress(state.sequence, state.turnsToWrite)
    }

    override suspend fun replicate(
        peer: GatewayRun,
        turn: CopyTurn,
    ): Boolean {
        val registered = peerOf(peer) ?: return false
        return links.request(registered.member, turn, REPLICATION_TIMEOUT).getOrNull() is Done
    }

    private fun peerOf(run: GatewayRun): Peer? = fleet.peers.firstOrNull { it.run == run && !it.isUnresponsive }

    override suspend fun find(turn: CallId): TurnSearch {
        val isComplete = fleet.isMembershipKnown && fleet.peers.none { it.isUnresponsive || it.state == null }
        val reachable = fleet.peers.filterNot { it.isUnresponsive }
        var replied = 0
        val found =
            channelFlow { reachable.forEach { peer -> launch { send(requestTurn(peer, turn)) } } }
                .filterNotNull()
                .onEach { replied++ }
                .mapNotNull { it.record }
                .firstOrNull()
        return when {
            found != null -> TurnSearch.Found(found)
            isComplete && replied == reachable.size -> TurnSearch.NotFound
            else -> TurnSearch.Inconclusive
        }
    }

    private suspend fun requestTurn(
        peer: Peer,
        turn: CallId,
    ): TurnFound? = links.request(peer.member, FindTurn(turn), FIND_TIMEOUT).getOrNull() as? TurnFound

    private companion object {
        private val REPLICATION_TIMEOUT = 250.milliseconds
        private val FIND_TIMEOUT = 300.milliseconds
    }
}
