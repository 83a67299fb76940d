package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.engine.CacheEvent
import org.chestnutloom.fakes.engine.CacheEventKind

/**
 * Works out wasted cache from what the engines logged.
 *
 * @property goneAtMs when each program was gone, in milliseconds since 1970 UTC
 * @property untilMs the end of the accounting
 */
internal class CacheAccounting(
    private val engines: List<EngineHistory>,
    private val goneAtMs: Map<String, Long>,
    private val untilMs: Long,
) {
    private val eventsByProgram = engines.map { engine -> engine.events.groupBy(CacheEvent::program) }

    fun waste(): CacheWaste {
        val runs = engines.flatMap { it.requests }.filter { it.promptTokens != null }
        return CacheWaste(
            prefilledTokens = runs.sumOf { (it.promptTokens ?: 0) - (it.cachedTokens ?: 0) },
            cachedTokens = runs.sumOf { it.cachedTokens ?: 0 },
            prefilledThoughCachedTokens = engines.indices.sumOf(::prefilledThoughCached),
            goneTokenSeconds = eventsByProgram.sumOf { programs -> programs.entries.sumOf(::goneTokenSeconds) },
            goneTokensAtEnd = eventsByProgram.sumOf { programs -> programs.entries.sumOf(::goneTokensAtEnd) },
        )
    }

    private fun prefilledThoughCached(engine: Int): Long =
        engines[engine].requests.sumOf { request ->
            val prompt = request.promptTokens ?: return@sumOf 0L
            val program = request.programId ?: return@sumOf 0L
            val startedAtMs = request.startedAtMs ?: return@sumOf 0L
            val elsewhere = engines.indices.filter { it != engine }.maxOfOrNull { held(it, program, startedAtMs) } ?: 0
            (minOf(elsewhere, prompt) - (request.cachedTokens ?: 0)).coerceAtLeast(0)
        }

    private fun held(
        engine: Int,
        program: String,
        atMs: Long,
    ): Long =
        eventsByProgram[engine][program]
            .orEmpty()
            .lastOrNull { it.atMs <= atMs }
            ?.let(::heldAfter) ?: 0

    private fun heldAfter(event: CacheEvent): Long = if (event.kind == CacheEventKind.STORED) event.tokens else 0

    private fun goneTokenSeconds(history: Map.Entry<String, List<CacheEvent>>): Double {
        val (program, events) = history
        val goneAt = goneAtMs[program] ?: return 0.0
        return events.indices.sumOf { index ->
            val from = maxOf(events[index].atMs, goneAt)
            val until = events.getOrNull(index + 1)?.atMs ?: untilMs
            heldAfter(events[index]) * (until - from).coerceAtLeast(0) / MS_PER_SECOND
        }
    }

    private fun goneTokensAtEnd(history: Map.Entry<String, List<CacheEvent>>): Long {
        val (program, events) = history
        val isGone = (goneAtMs[program] ?: Long.MAX_VALUE) <= untilMs
        return if (isGone) heldAfter(events.last()) else 0
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
