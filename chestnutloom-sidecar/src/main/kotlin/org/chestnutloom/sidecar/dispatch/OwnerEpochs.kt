package org.chestnutloom.sidecar.dispatch

import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms

/** Tracks the highest owner epoch seen for each program tree, and rejects calls from earlier owners. */
internal class OwnerEpochs(
    private val mechanisms: Mechanisms,
) {
    private val epochs =
        object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > MAX_PROGRAMS
        }

    /** Returns whether [epoch] is not older than the newest known owner epoch of [program], and records it if so. */
    @Synchronized
    fun admits(
        program: ProgramId?,
        epoch: Long,
    ): Boolean {
        if (program == null || !mechanisms.has(Mechanism.OWNER_FENCING)) return true
        val highest = epochs[program.root] ?: epoch
        if (epoch < highest) return false
        epochs[program.root] = epoch
        return true
    }

    private companion object {
        const val MAX_PROGRAMS = 50_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
