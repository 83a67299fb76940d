package org.chestnutloom.cache

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration

/** Tracks which programs may keep cache in an engine, and finds the programs to release. Immutable. */
public class CacheLeaseTable private constructor(
    public val leases: PersistentMap<ProgramId, CacheLease>,
    private val ended: PersistentMap<ProgramId, Duration>,
) {
    /** Cached tokens by program, for programs that have a lease and a non-empty cache. */
    public val tokens: Map<ProgramId, Long>
        get() = leases.mapValues { it.value.tokens }.filterValues { it > 0 }

    /** Returns the table after [holder] used [program], which renews or creates its lease. */
    public fun touch(
        program: ProgramId,
        holder: String,
        now: Duration,
    ): CacheLeaseTable {
        val tokens = leases[program]?.tokens ?: 0
        return CacheLeaseTable(leases.put(program, CacheLease(holder, tokens, now)), ended.remove(program))
    }

    /** Returns the table with [tokens] cached for [program]; unchanged if the program has no lease. */
    public fun recordTokens(
        program: ProgramId,
        tokens: Long,
    ): CacheLeaseTable {
        val lease = leases[program] ?: return this
        return CacheLeaseTable(leases.put(program, lease.copy(tokens = tokens)), ended)
    }

    /** Returns the table after [program] ended; each sweep releases any cache that the engine still lists for it. */
    public fun markEnded(
        program: ProgramId,
        now: Duration,
    ): CacheLeaseTable = CacheLeaseTable(leases.remove(program), ended.put(program, now))

    /**
     * Reconciles the table with the programs that the engine lists.
     *
     * @param listing cached tokens by program, as reported by the engine
     * @param running programs with a call in flight at the engine, which keep their cache
     * @param liveHolders gateway processes known to be alive
     */
    public fun sweep(
        listing: Map<ProgramId, Long>,
        running: Set<ProgramId>,
        liveHolders: Set<String>,
        now: Duration,
        retention: CacheRetention,
    ): CacheSweep {
        val listed = listing.entries.fold(leases) { all, (program, tokens) -> all.withListed(program, tokens, now) }
        val expired =
            listed.filter { (program, lease) ->
                program !in running && !lease.isCurrent(liveHolders, now, retention)
            }
        val endedInCache = ended.keys.filter { it in listing && it !in running }
        val kept = expired.keys.fold(listed) { all, program -> all.remove(program) }.clearEvicted(listing, running)
        val staleEnded = ended.filterValues { now - it > retention.idle }.keys
        val remainingEnded = staleEnded.fold(ended) { all, program -> all.remove(program) }
        val release = (expired.keys + endedInCache).filterTo(HashSet()) { it in listing }
        return CacheSweep(CacheLeaseTable(kept, remainingEnded), release)
    }

    private fun PersistentMap<ProgramId, CacheLease>.withListed(
        program: ProgramId,
        tokens: Long,
        now: Duration,
    ): PersistentMap<ProgramId, CacheLease> {
        if (program in ended) return this
        val lease = this[program] ?: CacheLease(holder = null, tokens, now)
        return put(program, lease.copy(tokens = tokens))
    }

    /** Sets the tokens of programs that the engine does not list to 0, unless they have a call in flight. */
    private fun PersistentMap<ProgramId, CacheLease>.clearEvicted(
        listing: Map<ProgramId, Long>,
        running: Set<ProgramId>,
    ): PersistentMap<ProgramId, CacheLease> {
        val evicted = filterKeys { it !in listing && it !in running }
        return evicted.entries.fold(this) { all, (program, lease) -> all.put(program, lease.copy(tokens = 0)) }
    }

    private fun CacheLease.isCurrent(
        liveHolders: Set<String>,
        now: Duration,
        retention: CacheRetention,
    ): Boolean {
        val idleTime = now - lastUsedAt
        return if (holder in liveHolders) idleTime <= retention.idle else idleTime <= retention.orphaned
    }

    public companion object {
        /** The empty table. */
        public val EMPTY: CacheLeaseTable = CacheLeaseTable(persistentMapOf(), persistentMapOf())
    }
}
