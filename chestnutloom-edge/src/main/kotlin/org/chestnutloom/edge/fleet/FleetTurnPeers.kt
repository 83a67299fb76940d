package org.chestnutloom.edge.fleet

import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import org.chestnutloom.edge.turn.TurnPeers
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.FindTurn
import org.chestnutloom.wire.message.TurnFound
import kotlin.time.Duration.Companion.milliseconds

/** Looks up turns in the caches of the other gateways of the fleet. */
internal class FleetTurnPeers(
    private val fleet: Fleet,
    private val links: PeerLinks,
) : TurnPeers {
    override suspend fun find(turn: CallId): ByteArray? {
        val reachable = fleet.peers.filterNot { it.isUnresponsive }
        return channelFlow { reachable.forEach { peer -> launch { send(requestTurn(peer, turn)) } } }
            .filterNotNull()
            .firstOrNull()
    }

    private suspend fun requestTurn(
        peer: Peer,
        turn: CallId,
    ): ByteArray? {
        val reply = links.request(peer.member, FindTurn(turn), FIND_TIMEOUT).getOrNull()
        return (reply as? TurnFound)?.record
    }

    private companion object {
        private val FIND_TIMEOUT = 300.milliseconds
    }
}
