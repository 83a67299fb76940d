package org.chestnutloom.retry

import java.util.concurrent.atomic.AtomicLong

/** Bounds repeats to a share of first sendings, so that repeats cannot multiply an overload. */
public interface RetryBudget {
    /** Takes note of a first sending, which earns a share of a repeat. */
    public fun recordRequest()

    /** Takes one repeat from the budget; returns false when there is none left, and then the call must not repeat. */
    public fun tryRetry(): Boolean
}

/**
 * Returns a budget that starts full.
 *
 * @param ratio repeats earned by each first sending
 * @param maxRetries the most repeats that the budget saves up
 */
public fun retryBudget(
    ratio: Double,
    maxRetries: Int,
): RetryBudget = AtomicRetryBudget((ratio * MILLI).toLong(), maxRetries * MILLI)

private const val MILLI = 1_000L

private class AtomicRetryBudget(
    private val earnedMilli: Long,
    private val maxMilli: Long,
) : RetryBudget {
    private val balanceMilli = AtomicLong(maxMilli)

    override fun recordRequest() {
        balanceMilli.updateAndGet { minOf(maxMilli, it + earnedMilli) }
    }

    override fun tryRetry(): Boolean {
        val before = balanceMilli.getAndUpdate { if (it >= MILLI) it - MILLI else it }
        return before >= MILLI
    }
}
