package org.chestnutloom.edge.target

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The requests of this gateway that run at one target, with their expected ends; confined to the event loop. */
internal class WorkInProgress {
    private val entries = HashMap<Any, Entry>()

    /** The number of requests. */
    val size: Int
        get() = entries.size

    /** Adds the request [key], which starts at the monotonic time [now] and is expected to run for [expectedMs]. */
    fun add(
        key: Any,
        now: Duration,
        expectedMs: Double,
    ) {
        entries[key] = Entry(now, expectedMs)
    }

    /** Removes the request [key]. */
    fun remove(key: Any) {
        entries.remove(key)
    }

    /** Returns for how long the requests are expected to run on in total, in milliseconds. */
    fun remainingMs(now: Duration): Double = overlapMs(now, Double.MAX_VALUE)

    /** Returns for how long the requests are expected to run on within the next [limitMs], in total milliseconds. */
    fun overlapMs(
        now: Duration,
        limitMs: Double,
    ): Double {
        var total = 0.0
        for (entry in entries.values) total += minOf(entry.remainingMs(now), limitMs)
        return total
    }

    private class Entry(
        private val startedAt: Duration,
        private val expectedMs: Double,
    ) {
        fun remainingMs(now: Duration): Double {
            val elapsedMs = (now - startedAt).toDouble(DurationUnit.MILLISECONDS)
            return maxOf(expectedMs - elapsedMs, expectedMs * OVERDUE_FRACTION)
        }
    }

    private companion object {
        /** A request that has run longer than expected probably takes some more time. */
        private const val OVERDUE_FRACTION = 0.1
    }
}
