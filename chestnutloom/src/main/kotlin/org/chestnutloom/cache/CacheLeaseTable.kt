package org.chestnutloom.cache

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration

/** Records for which programs an engine may hold memory, and finds those that it must not; an immutable value. */
public class CacheLeaseTable private constructor(
    public val leases: PersistentMap<ProgramId, CacheLease>,
    private val ended: PersistentMap<ProgramId, Duration>,
) {
    /** Cached tokens of each program with a lease. */
    public val tokens: Map<ProgramId, Long>
        get() = leases.mapValues { it.value.tokens }.filterValues { it > 0 }

    /** Returns the table after [holder] spoke of [program]. */
    public fun touch(
        program: ProgramId,
        holder: String,
        now: Duration,
    ): CacheLeaseTable {
        val tokens = leases[program]?.tokens ?: 0
        return CacheLeaseTable(leases.put(program, CacheLease(holder, tokens, now)), ended.remove(program))
    }

    /** Returns the table after a call left [tokens] of [program] in the cache. */
    public fun recordTokens(
        program: ProgramId,
        tokens: Long,
    ): CacheLeaseTable {
        val lease = leases[program] ?: return this
        return CacheLeaseTable(leases.put(program, lease.copy(tokens = tokens)), ended)
    }

    /** Returns the table after [program] ended; what the engine still holds of it is released by each sweep. */
    public fun markEnded(
        program: ProgramId,
        now: Duration,
    ): CacheLeaseTable = CacheLeaseTable(leases.remove(program), ended.put(program, now))

    /**
     * Compares the table with what the engine lists.
     *
     * @param listing cached tokens of each program, as the engine says
     * @param running programs with a call at the engine, which keep their memory
     * @param liveHolders the gateway processes that are known to be alive
     */
    public fun sweep(
        listing: Map<ProgramId, Long>,
        running: Set<ProgramId>,
        liveHolders: Set<String>,
        now: Duration,
        retention: CacheRetention,
    ): CacheSweep {
        val listed = listing.entries.fold(leases) { all, (program, tokens) -> all.listed(program, tokens, now) }
        val lapsed =
            listed.filter { (program, lease) ->
                program !in running && !lease.isCurrent(liveHolders, now, retention)
            }
        val endedHere = ended.keys.filter { it in listing && it !in running }
        val kept = lapsed.keys.fold(listed) { all, program -> all.remove(program) }.unlisted(listing, running)
        val forgotten = ended.filterValues { now - it > retention.idle }.keys
        val stillEnded = forgotten.fold(ended) { all, program -> all.remove(program) }
        val release = (lapsed.keys + endedHere).filterTo(HashSet()) { it in listing }
        return CacheSweep(CacheLeaseTable(kept, stillEnded), release)
    }

    private fun PersistentMap<ProgramId, CacheLease>.listed(
        program: ProgramId,
        tokens: Long,
        now: Duration,
    ): PersistentMap<ProgramId, CacheLease> {
        if (program in ended) return this
        val lease = this[program] ?: CacheLease(holder = null, tokens, now)
        return put(program, lease.copy(tokens = tokens))
    }

    /** Sets the tokens of programs that the engine does not list to none, unless they have a call there. */
    private fun PersistentMap<ProgramId, CacheLease>.unlisted(
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
        val silence = now - lastUsedAt
        return if (holder in liveHolders) silence <= retention.idle else silence <= retention.orphaned
    }

    public companion object {
        /** A table without programs. */
        public val EMPTY: CacheLeaseTable = CacheLeaseTable(persistentMapOf(), persistentMapOf())
    }
}
