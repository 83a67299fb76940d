package org.chestnutloom.edge.availability

import org.chestnutloom.time.Clock
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The recent request rates of affinity keys at this gateway, with exponential decay; confined to the event loop. */
internal class KeyRates(
    private val clock: Clock,
) {
    private val counters =
        object : LinkedHashMap<String, Counter>(INITIAL_KEYS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Counter>): Boolean = size > MAX_KEYS
        }

    /** Records a request with [key]. */
    fun record(key: String) {
        val counter = counters.getOrPut(key) { Counter() }
        counter.decayTo(clock.elapsed())
        counter.requests += 1
    }

    /** Returns the rate of requests with [key] per second. */
    fun perSecond(key: String): Double {
        val counter = counters[key] ?: return 0.0
        counter.decayTo(clock.elapsed())
        return counter.requests / DECAY_TIME.toDouble(DurationUnit.SECONDS)
    }

    private class Counter {
        var requests = 0.0
        private var countedAt = Duration.ZERO

        fun decayTo(now: Duration) {
            requests *= exp(-((now - countedAt) / DECAY_TIME))
            countedAt = now
        }
    }

    private companion object {
        /** Long enough that a few requests per second give a steady rate. */
        private val DECAY_TIME = 2.seconds

        /** The least recently used keys are forgotten beyond this number, so that keys of callers cannot fill the heap. */
        private const val MAX_KEYS = 2_048
        private const val INITIAL_KEYS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
