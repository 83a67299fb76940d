package org.chestnutloom.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential delays between repeats, each drawn at random up to the bound of its attempt.
 *
 * @property first the bound of the first delay
 * @property max the bound that no delay exceeds
 */
public data class Backoff(
    public val first: Duration = 50.milliseconds,
    public val max: Duration = 2.seconds,
) {
    /** Returns the bound of the delay after [failures] failures in a row, from 1. */
    public fun bound(failures: Int): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return minOf(first * (1 shl doublings), max)
    }

    /** Draws the delay after [failures] failures in a row. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration = bound(failures) * random.nextDouble(LEAST_PART, 1.0)

    private companion object {
        const val MAX_DOUBLINGS = 20
        const val LEAST_PART = 0.1
    }
}
