package org.chestnutloom.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Records which bodies were in flight when targets crashed; an immutable value.
 *
 * Bodies are named by their hash, and crashes by any unique name, so that the same crash counts once however often it
 * is reported.
 */
public class CrashHistory private constructor(
    private val crashesByHash: PersistentMap<String, PersistentSet<String>>,
    private val maxHashes: Int,
) {
    /** Each hash as often as there were crashes while it was in flight. */
    public val crashedHashes: List<String>
        get() = crashesByHash.flatMap { (hash, crashes) -> crashes.map { hash } }

    /** Returns the history after [hashes] were in flight at [crash]. */
    public fun recordCrash(
        hashes: Collection<String>,
        crash: String,
    ): CrashHistory {
        val added = hashes.fold(crashesByHash) { map, hash -> map.put(hash, crashesOf(hash).add(crash)) }
        val surplus = added.keys.take((added.size - maxHashes).coerceAtLeast(0))
        return CrashHistory(surplus.fold(added) { map, hash -> map.remove(hash) }, maxHashes)
    }

    /** Returns the history after [hash] ran alone and its target survived; quarantine stands. */
    public fun recordSurvival(hash: String): CrashHistory {
        if (verdictOf(hash) != CrashVerdict.SUSPECT) return this
        return CrashHistory(crashesByHash.remove(hash), maxHashes)
    }

    /** Returns what is known of [hash]. */
    public fun verdictOf(hash: String): CrashVerdict =
        when (crashesOf(hash).size) {
            0 -> CrashVerdict.CLEAR
            1 -> CrashVerdict.SUSPECT
            else -> CrashVerdict.QUARANTINED
        }

    private fun crashesOf(hash: String): PersistentSet<String> = crashesByHash[hash] ?: persistentSetOf()

    public companion object {
        private const val MAX_HASHES = 1_024

        /** Returns a history without crashes, which keeps the newest [maxHashes] bodies. */
        public fun empty(maxHashes: Int = MAX_HASHES): CrashHistory = CrashHistory(persistentMapOf(), maxHashes)
    }
}
