package org.chestnutloom.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential backoff between retries, with random jitter.
 *
 * @property first the maximum of the first delay
 * @property max the maximum of all delays
 */
public data class Backoff(
    public val first: Duration = 50.milliseconds,
    public val max: Duration = 2.seconds,
) {
    /** Returns the maximum delay after [failures] consecutive failures, at least 1. */
    public fun bound(failures: Int): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return minOf(first * (1 shl doublings), max)
    }

    /** Returns a random delay after [failures] consecutive failures. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration = bound(failures) * random.nextDouble(MIN_JITTER_FACTOR, 1.0)

    private companion object {
        const val MAX_DOUBLINGS = 20
        const val MIN_JITTER_FACTOR = 0.1
    }
}
