package org.chestnutloom.gateway.program

import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.id.ProgramId

/** Holds one [Family] for each root program that this gateway works on now. */
internal class FamilyRegistry(
    private val store: ProgramStore,
    private val ownership: OwnershipTable,
) {
    private val lock = Any()
    private val entries = HashMap<String, Entry>()

    /** Runs [block] with the family of [program] under the ownership [epoch]. */
    suspend fun <T> use(
        program: ProgramId,
        epoch: Long,
        block: suspend (Family) -> T,
    ): T {
        val entry = acquire(program.root, epoch)
        try {
            return block(entry.family)
        } finally {
            release(entry)
        }
    }

    /** Removes [family], whose records may differ from the store; requests under way keep it to their end. */
    fun discard(family: Family) {
        synchronized(lock) { if (entries[family.root]?.family === family) entries.remove(family.root) }
    }

    /** Tells whether the family of [program] is in use. */
    fun isInUse(program: ProgramId): Boolean = synchronized(lock) { program.root in entries }

    private fun acquire(
        root: String,
        epoch: Long,
    ): Entry =
        synchronized(lock) {
            val known = entries[root]?.takeIf { it.family.epoch == epoch }
            val entry = known ?: Entry(Family(root, epoch, store, ownership)).also { entries[root] = it }
            entry.users++
            entry
        }

    private fun release(entry: Entry) {
        synchronized(lock) {
            entry.users--
            if (entry.users == 0 && entries[entry.family.root] === entry) entries.remove(entry.family.root)
        }
    }

    private class Entry(
        val family: Family,
        var users: Int = 0,
    )
}
