package org.chestnutloom.sidecar.cache

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.cache.CacheLeaseTable
import org.chestnutloom.cache.CacheRetention
import org.chestnutloom.cache.CacheSweep
import org.chestnutloom.common.engine.EngineClient
import org.chestnutloom.common.log.event
import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerIdentity
import java.util.concurrent.atomic.AtomicReference

/** Tracks which programs may hold engine cache, and releases the cache of ended and abandoned programs. */
internal class EngineProgramCache(
    private val engine: EngineClient,
    private val retention: CacheRetention,
    private val mechanisms: Mechanisms,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
) : ProgramCache {
    private val logger = KotlinLogging.logger {}
    private val table = AtomicReference(CacheLeaseTable.EMPTY)

    override val tokens: Map<ProgramId, Long>
        get() = table.get().tokens

    override fun touch(
        program: ProgramId,
        holder: PeerIdentity,
    ) {
        table.updateAndGet { it.touch(program, holderName(holder), clock.elapsed()) }
    }

    override fun recordTokens(
        program: ProgramId,
        tokens: Long,
    ) {
        table.updateAndGet { it.recordTokens(program, tokens) }
    }

    override suspend fun end(program: ProgramId) {
        table.updateAndGet { it.markEnded(program, clock.elapsed()) }
        release(setOf(program), "ended")
    }

    override suspend fun sweep(
        running: Set<ProgramId>,
        liveHolders: Set<PeerIdentity>,
    ) {
        val listing = engine.cachedPrograms().getOrNull() ?: return
        metrics.cachedTokens = listing.values.sum()
        val holders = liveHolders.mapTo(HashSet()) { holderName(it) }
        val now = clock.elapsed()
        val sweep = table.updateAndReturn { it.sweep(listing, running, holders, now, retention) }
        release(sweep, "swept")
    }

    private suspend fun release(
        programs: Set<ProgramId>,
        cause: String,
    ) {
        if (!mechanisms.has(Mechanism.CACHE_RELEASE)) return
        programs.forEach { program ->
            val released = engine.releaseCache(program).isRight()
            if (released) metrics.recordRelease(cause)
            logger.event("cache_released", "program" to program, "cause" to cause, "done" to released)
        }
    }

    /** Atomically replaces the table with the result of [sweep], and returns the programs to release. */
    private fun AtomicReference<CacheLeaseTable>.updateAndReturn(
        sweep: (CacheLeaseTable) -> CacheSweep,
    ): Set<ProgramId> {
        while (true) {
            val before = get()
            val result = sweep(before)
            if (compareAndSet(before, result.table)) return result.release
        }
    }

    private fun holderName(peer: PeerIdentity): String = "${peer.id}/${peer.incarnation}"
}
