package org.chestnutloom.fakes.engine

import org.chestnutloom.time.Clock
import java.util.Random
import kotlin.time.Duration

/** Publishes the changes of a prefix cache after [delay], dropping a pseudorandom share of them. */
internal class CacheEventFeed(
    private val clock: Clock,
    private val delay: Duration,
    private val lossRatio: Double,
    seed: Long,
) {
    private val lock = Any()
    private val random = Random(seed)
    private val entries = ArrayList<Entry>()

    fun add(
        program: String,
        tokens: Long,
        kind: CacheEventKind,
    ) {
        synchronized(lock) {
            val event = CacheEvent(entries.size + 1L, program, tokens, kind, clock.now().toEpochMilli())
            entries += Entry(event, clock.elapsed(), random.nextDouble() < lossRatio)
        }
    }

    /** Returns the events after [sequence] that callers can see: those that are old enough and were not dropped. */
    fun published(sequence: Long): List<CacheEvent> =
        synchronized(lock) {
            val until = clock.elapsed() - delay
            entries
                .drop(sequence.toInt().coerceAtLeast(0))
                .takeWhile { it.at <= until }
                .filterNot(Entry::isLost)
                .map(Entry::event)
        }

    /** Returns all events, without delay or loss. */
    fun all(): List<CacheEvent> = synchronized(lock) { entries.map(Entry::event) }

    private class Entry(
        val event: CacheEvent,
        val at: Duration,
        val isLost: Boolean,
    )
}
