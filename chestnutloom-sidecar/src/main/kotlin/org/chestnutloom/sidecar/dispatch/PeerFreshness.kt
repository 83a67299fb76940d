package org.chestnutloom.sidecar.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tracks the age of each gateway's freshness proof, as reported in its heartbeats. */
internal class PeerFreshness(
    private val clock: Clock,
    private val pauses: PauseDetector,
) {
    private val heartbeats = MutableStateFlow<PersistentMap<PeerIdentity, ReceivedHeartbeat>>(persistentMapOf())

    /** Records [heartbeat], unless this process is recovering from a pause. */
    fun record(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ) {
        if (pauses.isRecovering()) return
        val received = ReceivedHeartbeat(clock.elapsed(), heartbeat.proofAgeMs?.milliseconds)
        heartbeats.update { it.put(peer, received) }
    }

    /** Waits up to [limit] for the first heartbeat of [peer]. */
    suspend fun awaitFirstHeartbeat(
        peer: PeerIdentity,
        limit: Duration,
    ) {
        if (peer in heartbeats.value) return
        withTimeoutOrNull(limit) { heartbeats.first { peer in it } }
    }

    /** Returns the time since the latest heartbeat of [peer], or null if there was none. */
    fun timeSinceHeartbeat(peer: PeerIdentity): Duration? =
        heartbeats.value[peer]?.let { clock.elapsed() - it.receivedAt }

    /** Returns the current age of the latest freshness proof of [peer], or null if it has none. */
    fun proofAge(peer: PeerIdentity): Duration? {
        val heartbeat = heartbeats.value[peer] ?: return null
        val ageOnArrival = heartbeat.proofAge ?: return null
        return ageOnArrival + (clock.elapsed() - heartbeat.receivedAt)
    }

    /** Returns the peers whose latest heartbeat arrived within [limit]. */
    fun livePeers(limit: Duration): Set<PeerIdentity> {
        val since = clock.elapsed() - limit
        return heartbeats.value.filterValues { it.receivedAt >= since }.keys
    }

    /** Removes peers without a heartbeat for longer than [limit]. */
    fun expire(limit: Duration) {
        val before = clock.elapsed() - limit
        heartbeats.update { all ->
            all.entries.fold(all) { kept, (peer, heartbeat) ->
                if (heartbeat.receivedAt <
                    before
                ) {
                    kept.remove(peer)
                } else {
                    kept
                }
            }
        }
    }
}
