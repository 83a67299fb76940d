package org.chestnutloom.queue

import kotlin.math.pow
import kotlin.time.Duration

/**
 * Counts by key that halve in each [halfLife]. Not thread-safe.
 *
 * @param maxKeys the number of keys kept; those not counted for the longest time are dropped beyond it
 */
public class DecayingCounts<K : Any>(
    private val halfLife: Duration,
    private val maxKeys: Int,
) {
    private val counts = LinkedHashMap<K, Count>()
    private val total = Count()

    /** Counts [key] once at the monotonic time [now]. */
    public fun add(
        key: K,
        now: Duration,
    ) {
        val count = counts.remove(key) ?: Count()
        counts[key] = count
        count.add(now)
        total.add(now)
        if (counts.size > maxKeys) counts.remove(counts.keys.first())
    }

    /** Returns the count of [key] at the monotonic time [now]. */
    public fun count(
        key: K,
        now: Duration,
    ): Double = counts[key]?.at(now) ?: 0.0

    /** Returns the count of all keys, including dropped ones. */
    public fun total(now: Duration): Double = total.at(now)

    private inner class Count {
        private var value = 0.0
        private var updatedAt = Duration.ZERO

        fun at(now: Duration): Double = value * HALF.pow((now - updatedAt) / halfLife)

        fun add(now: Duration) {
            value = at(now) + 1
            updatedAt = now
        }
    }

    private companion object {
        const val HALF = 0.5
    }
}
