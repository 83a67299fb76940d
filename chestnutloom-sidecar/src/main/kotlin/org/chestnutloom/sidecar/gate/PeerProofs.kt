package org.chestnutloom.sidecar.gate

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

/** Keeps how old each gateway's proof of currency is, as its heartbeats say. */
internal class PeerProofs(
    private val clock: Clock,
    private val pauses: PauseGuard,
) {
    private val beats = MutableStateFlow<PersistentMap<PeerIdentity, ReceivedBeat>>(persistentMapOf())

    /** Takes note of [beat]. */
    fun record(
        peer: PeerIdentity,
        beat: Heartbeat,
    ) {
        if (pauses.isHolding()) return
        val received = ReceivedBeat(clock.elapsed(), beat.proofAgeMs?.milliseconds)
        beats.update { it.put(peer, received) }
    }

    /** Waits for [peer]'s first heartbeat, but not longer than [limit]. */
    suspend fun awaitFirst(
        peer: PeerIdentity,
        limit: Duration,
    ) {
        if (peer in beats.value) return
        withTimeoutOrNull(limit) { beats.first { peer in it } }
    }

    /** Returns the time since [peer]'s newest heartbeat, or null before the first. */
    fun silence(peer: PeerIdentity): Duration? = beats.value[peer]?.let { clock.elapsed() - it.receivedAt }

    /** Returns the age of [peer]'s newest proof now, or null when it has none. */
    fun proofAge(peer: PeerIdentity): Duration? {
        val beat = beats.value[peer] ?: return null
        val ageThen = beat.proofAge ?: return null
        return ageThen + (clock.elapsed() - beat.receivedAt)
    }

    /** Returns the peers that were heard within [limit]. */
    fun livePeers(limit: Duration): Set<PeerIdentity> {
        val since = clock.elapsed() - limit
        return beats.value.filterValues { it.receivedAt >= since }.keys
    }

    /** Drops peers that were silent for longer than [limit]. */
    fun expire(limit: Duration) {
        val before = clock.elapsed() - limit
        beats.update { all ->
            all.entries.fold(all) { kept, (peer, beat) ->
                if (beat.receivedAt <
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
