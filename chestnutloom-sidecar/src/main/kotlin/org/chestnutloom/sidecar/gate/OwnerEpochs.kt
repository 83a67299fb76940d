package org.chestnutloom.sidecar.gate

import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms

/** Remembers the highest owner epoch of each program family, and fences calls of earlier owners. */
internal class OwnerEpochs(
    private val mechanisms: Mechanisms,
) {
    private val epochs =
        object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > MAX_PROGRAMS
        }

    /** Tells whether a call of [program] under [epoch] comes from its newest known owner, and takes note of it. */
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
