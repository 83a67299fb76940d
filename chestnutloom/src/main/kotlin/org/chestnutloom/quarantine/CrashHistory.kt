package org.chestnutloom.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Records which request bodies were in flight when targets crashed. Immutable.
 *
 * Bodies are identified by their hash and crashes by a unique name, so a crash that is reported repeatedly counts once.
 */
public class CrashHistory private constructor(
    private val crashesByHash: PersistentMap<String, PersistentSet<String>>,
    private val maxHashes: Int,
) {
    /** The hashes that were in flight at crashes, each repeated once per crash. */
    public val crashedHashes: List<String>
        get() = crashesByHash.flatMap { (hash, crashes) -> crashes.map { hash } }

    /** Returns the history with [crash] added, at which [hashes] were in flight. */
    public fun recordCrash(
        hashes: Collection<String>,
        crash: String,
    ): CrashHistory {
        val added = hashes.fold(crashesByHash) { map, hash -> map.put(hash, crashesOf(hash).add(crash)) }
        val surplus = added.keys.take((added.size - maxHashes).coerceAtLeast(0))
        return CrashHistory(surplus.fold(added) { map, hash -> map.remove(hash) }, maxHashes)
    }

    /** Returns the history after [hash] ran alone without a crash, which clears a suspect but lifts no quarantine. */
    public fun recordSurvival(hash: String): CrashHistory {
        if (verdictOf(hash) != CrashVerdict.SUSPECT) return this
        return CrashHistory(crashesByHash.remove(hash), maxHashes)
    }

    /** Returns the verdict on [hash]. */
    public fun verdictOf(hash: String): CrashVerdict =
        when (crashesOf(hash).size) {
            0 -> CrashVerdict.CLEAR
            1 -> CrashVerdict.SUSPECT
            else -> CrashVerdict.QUARANTINED
        }

    private fun crashesOf(hash: String): PersistentSet<String> = crashesByHash[hash] ?: persistentSetOf()

    public companion object {
        private const val MAX_HASHES = 1_024

        /** Returns an empty history, which keeps at most [maxHashes] bodies and drops the oldest first. */
        public fun empty(maxHashes: Int = MAX_HASHES): CrashHistory = CrashHistory(persistentMapOf(), maxHashes)
    }
}
