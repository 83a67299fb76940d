package org.chestnutloom.fakes.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.chestnutloom.store.VmEntry
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A VM list that readers see as it was [lag] ago. */
internal class LaggedVmList(
    private val clock: Clock,
) {
    private val lock = Any()
    private val history = mutableListOf(Snapshot(Duration.ZERO, persistentMapOf()))
    private var lag = Duration.ZERO

    fun setLag(lagMs: Long) {
        synchronized(lock) { lag = lagMs.milliseconds }
    }

    fun put(entry: VmEntry) {
        change { it.put(entry.id, entry) }
    }

    fun remove(id: String) {
        change { it.remove(id) }
    }

    fun visible(): List<VmEntry> =
        synchronized(lock) {
            val seenAt = clock.elapsed() - lag
            val snapshot = history.lastOrNull { it.since <= seenAt } ?: history.first()
            snapshot.vms.values.toList()
        }

    private fun change(edit: (PersistentMap<String, VmEntry>) -> PersistentMap<String, VmEntry>) {
        synchronized(lock) {
            history += Snapshot(clock.elapsed(), edit(history.last().vms))
            if (history.size > MAX_SNAPSHOTS) history.removeAt(0)
        }
    }

    private class Snapshot(
        val since: Duration,
        val vms: PersistentMap<String, VmEntry>,
    )

    private companion object {
        const val MAX_SNAPSHOTS = 10_000
    }
}
