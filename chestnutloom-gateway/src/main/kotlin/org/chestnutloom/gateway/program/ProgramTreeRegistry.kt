package org.chestnutloom.gateway.program

import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.id.ProgramId

/** Holds one [ProgramTree] for each root program in use on this gateway. */
internal class ProgramTreeRegistry(
    private val store: ProgramStore,
    private val ownership: OwnershipTable,
) {
    private val lock = Any()
    private val entries = HashMap<String, Entry>()

    /** Runs [block] with the tree of [program] in ownership epoch [epoch]. */
    suspend fun <T> use(
        program: ProgramId,
        epoch: Long,
        block: suspend (ProgramTree) -> T,
    ): T {
        val entry = acquire(program.root, epoch)
        try {
            return block(entry.tree)
        } finally {
            release(entry)
        }
    }

    /** Removes [tree], whose records may differ from the store; requests in progress continue to use it. */
    fun discard(tree: ProgramTree) {
        synchronized(lock) { if (entries[tree.root]?.tree === tree) entries.remove(tree.root) }
    }

    /** Returns whether the tree of [program] is in use. */
    fun isInUse(program: ProgramId): Boolean = synchronized(lock) { program.root in entries }

    private fun acquire(
        root: String,
        epoch: Long,
    ): Entry =
        synchronized(lock) {
            val known = entries[root]?.takeIf { it.tree.epoch == epoch }
            val entry = known ?: Entry(ProgramTree(root, epoch, store, ownership)).also { entries[root] = it }
            entry.users++
            entry
        }

    private fun release(entry: Entry) {
        synchronized(lock) {
            entry.users--
            if (entry.users == 0 && entries[entry.tree.root] === entry) entries.remove(entry.tree.root)
        }
    }

    private class Entry(
        val tree: ProgramTree,
        var users: Int = 0,
    )
}
