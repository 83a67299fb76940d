package org.chestnutloom.retry

import java.util.concurrent.atomic.AtomicLong

/** Limits retries to a fraction of first attempts, so that retries cannot amplify an overload. */
public interface RetryBudget {
    /** Records a first attempt, which earns a fraction of a retry. */
    public fun recordRequest()

    /** Takes one retry from the budget; returns false if none is left, and then the call must not be retried. */
    public fun tryRetry(): Boolean
}

/**
 * Returns a budget that starts full.
 *
 * @param ratio retries earned by each first attempt
 * @param maxRetries the maximum number of retries that the budget accumulates
 */
public fun retryBudget(
    ratio: Double,
    maxRetries: Int,
): RetryBudget = AtomicRetryBudget((ratio * MILLI_PER_RETRY).toLong(), maxRetries * MILLI_PER_RETRY)

private const val MILLI_PER_RETRY = 1_000L

private class AtomicRetryBudget(
    private val earnedMilli: Long,
    private val maxMilli: Long,
) : RetryBudget {
    private val balanceMilli = AtomicLong(maxMilli)

    override fun recordRequest() {
        balanceMilli.updateAndGet { minOf(maxMilli, it + earnedMilli) }
    }

    override fun tryRetry(): Boolean {
        val before = balanceMilli.getAndUpdate { if (it >= MILLI_PER_RETRY) it - MILLI_PER_RETRY else it }
        return before >= MILLI_PER_RETRY
    }
}
