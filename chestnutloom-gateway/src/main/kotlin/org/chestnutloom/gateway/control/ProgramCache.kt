package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/** Caches the programs that this gateway owns; programs with pending changes are never evicted. */
internal class ProgramCache {
    private val entries = LinkedHashMap<ProgramId, ProgramEntry>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Returns the entry of [program] if it was read in [epoch]. */
    fun get(
        program: ProgramId,
        epoch: Long,
    ): ProgramEntry? = entries[program]?.takeIf { it.epoch == epoch }

    /** Returns the entry of [program] regardless of its epoch. */
    fun peek(program: ProgramId): ProgramEntry? = entries[program]

    fun put(
        program: ProgramId,
        entry: ProgramEntry,
    ) {
        entries[program] = entry
        if (entries.size > MAX_PROGRAMS) evict()
    }

    fun remove(program: ProgramId) {
        entries.remove(program)
    }

    fun clear() {
        entries.clear()
    }

    /** Returns the newest state of [entry], including pending changes. */
    fun newestState(
        program: ProgramId,
        entry: ProgramEntry,
    ): JsonElement? =
        entry.pending
            .lastOrNull()
            ?.states
            ?.get(program) ?: entry.durableState

    private fun evict() {
        val iterator = entries.entries.iterator()
        while (entries.size > MAX_PROGRAMS && iterator.hasNext()) {
            if (iterator
                    .next()
                    .value.pending
                    .isEmpty()
            ) {
                iterator.remove()
            }
        }
    }

    private companion object {
        const val MAX_PROGRAMS = 4_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
