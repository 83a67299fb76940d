package org.chestnutloom.edge.admission

import org.chestnutloom.time.Clock
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Spreads the returns of refused programs over the time in which programs complete. */
internal class RetryAfter(
    private val clock: Clock,
    private val random: Random,
) {
    private var recentRefusals = 0.0
    private var updatedAt = Duration.ZERO

    /**
     * Returns after how many milliseconds a refused program should return.
     *
     * @param waitMs the time until there is room for a program
     * @param programsPerSecond the rate at which programs complete
     * @param deadline when the program should be complete, or null if that is not known
     */
    fun nextMs(
        waitMs: Double,
        programsPerSecond: Double,
        deadline: Duration?,
    ): Long {
        val now = clock.elapsed()
        recentRefusals = recentRefusals * exp(-(now - updatedAt).toDouble(DurationUnit.SECONDS)) + 1
        updatedAt = now
        val spreadMs = recentRefusals / programsPerSecond * MS_PER_SECOND
        // Callers ignore a longer time than a third of what they have left.
        val maxMs =
            deadline?.let { (it - now).inWholeMilliseconds / CALLER_DIVISOR }?.coerceIn(MIN_MS, MAX_MS) ?: MAX_MS
        val leastMs = (waitMs / 2).coerceAtMost(maxMs / 2.0)
        val widthMs = (waitMs / 2 + spreadMs).coerceAtLeast(MIN_MS.toDouble()).coerceAtMost(maxMs - leastMs)
        return (leastMs + random.nextDouble() * widthMs).toLong().coerceIn(1, maxMs)
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val CALLER_DIVISOR = 3
        private const val MIN_MS = 50L
        private const val MAX_MS = 2_000L
    }
}
