package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.engine.CacheEvent
import org.chestnutloom.fakes.engine.CacheEventKind

/**
 * Computes the wasted cache from the cache events and request logs of the engines.
 *
 * @property endTimesMs when each program ended, in milliseconds since the Unix epoch
 * @property untilMs the end of the measured period, in milliseconds since the Unix epoch
 */
internal class CacheAccounting(
    private val engines: List<EngineHistory>,
    private val endTimesMs: Map<String, Long>,
    private val untilMs: Long,
) {
    private val eventsByProgram = engines.map { engine -> engine.events.groupBy(CacheEvent::program) }

    fun waste(): CacheWaste {
        val runs = engines.flatMap { it.requests }.filter { it.promptTokens != null }
        return CacheWaste(
            prefilledTokens = runs.sumOf { (it.promptTokens ?: 0) - (it.cachedTokens ?: 0) },
            cachedTokens = runs.sumOf { it.cachedTokens ?: 0 },
            prefilledThoughCachedTokens = engines.indices.sumOf(::prefilledWhileCachedElsewhere),
            goneTokenSeconds = eventsByProgram.sumOf { programs -> programs.entries.sumOf(::tokenSecondsAfterEnd) },
            goneTokensAtEnd = eventsByProgram.sumOf { programs -> programs.entries.sumOf(::tokensLeftAtEnd) },
        )
    }

    private fun prefilledWhileCachedElsewhere(engine: Int): Long =
        engines[engine].requests.sumOf { request ->
            val prompt = request.promptTokens ?: return@sumOf 0L
            val program = request.programId ?: return@sumOf 0L
            val startedAtMs = request.startedAtMs ?: return@sumOf 0L
            val elsewhere =
                engines.indices.filter { it != engine }.maxOfOrNull { tokensAt(it, program, startedAtMs) } ?: 0
            (minOf(elsewhere, prompt) - (request.cachedTokens ?: 0)).coerceAtLeast(0)
        }

    private fun tokensAt(
        engine: Int,
        program: String,
        atMs: Long,
    ): Long =
        eventsByProgram[engine][program]
            .orEmpty()
            .lastOrNull { it.atMs <= atMs }
            ?.let(::tokensAfter) ?: 0

    private fun tokensAfter(event: CacheEvent): Long = if (event.kind == CacheEventKind.STORED) event.tokens else 0

    private fun tokenSecondsAfterEnd(history: Map.Entry<String, List<CacheEvent>>): Double {
        val (program, events) = history
        val endedAt = endTimesMs[program] ?: return 0.0
        return events.indices.sumOf { index ->
            val from = maxOf(events[index].atMs, endedAt)
            val until = events.getOrNull(index + 1)?.atMs ?: untilMs
            tokensAfter(events[index]) * (until - from).coerceAtLeast(0) / MS_PER_SECOND
        }
    }

    private fun tokensLeftAtEnd(history: Map.Entry<String, List<CacheEvent>>): Long {
        val (program, events) = history
        val hasEnded = (endTimesMs[program] ?: Long.MAX_VALUE) <= untilMs
        return if (hasEnded) tokensAfter(events.last()) else 0
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
