package org.chestnutloom.rate

import org.chestnutloom.time.Clock
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Returns an empty bucket for [sharePermille] of [limit]. */
public fun tokenBucket(
    clock: Clock,
    limit: RateLimit,
    sharePermille: Int,
): TokenBucket = TokenBucket(clock).also { it.resize(limit, sharePermille) }

/**
 * The token bucket of one gateway for one client account. Thread-safe.
 *
 * Tokens accrue on the monotonic clock at the gateway's share of the rate, up to its share of the burst.
 */
public class TokenBucket internal constructor(
    private val clock: Clock,
) {
    private val state = AtomicReference(BucketState(nowNanos(), 0, 0, 0.0))

    /** Whole thousandths of a token that can be taken now. */
    public val milliTokens: Long
        get() = current().nanoTokens / NANO_PER_MILLI_TOKEN

    /** Thousandths of a token that are lent and can still be spent by the borrower, rounded up. */
    public val lentMilliTokens: Long
        get() = (current().lentNanoTokens + NANO_PER_MILLI_TOKEN - 1) / NANO_PER_MILLI_TOKEN

    /** Takes [milliTokens] if available; returns false and takes nothing if not. */
    public fun tryTake(milliTokens: Long): Boolean {
        val wanted = milliTokens * NANO_PER_MILLI_TOKEN
        val before = update { if (it.nanoTokens >= wanted) it.copy(nanoTokens = it.nanoTokens - wanted) else it }
        return before.nanoTokens >= wanted
    }

    /** Takes up to [milliTokens] and returns the thousandths of a token taken. */
    public fun takeUpTo(milliTokens: Long): Long {
        val before = update { it.copy(nanoTokens = it.nanoTokens - takeable(it, milliTokens)) }
        return takeable(before, milliTokens) / NANO_PER_MILLI_TOKEN
    }

    /** Lends up to [milliTokens] to be spent within [validity]; returns the thousandths of a token lent. */
    public fun lend(
        milliTokens: Long,
        validity: Duration,
    ): Long {
        val before =
            update { state ->
                val lent = takeable(state, milliTokens)
                val loan = Loan(lent, state.atNanos + validity.inWholeNanoseconds)
                if (lent ==
                    0L
                ) {
                    state
                } else {
                    state.copy(nanoTokens = state.nanoTokens - lent, loans = state.loans.add(loan))
                }
            }
        return takeable(before, milliTokens) / NANO_PER_MILLI_TOKEN
    }

    /** Adds [milliTokens], limited to the free capacity. */
    public fun add(milliTokens: Long) {
        update { it.withTokens(it.nanoTokens + milliTokens * NANO_PER_MILLI_TOKEN) }
    }

    /** Resizes the bucket to [sharePermille] of [limit]; excess tokens are dropped, and none are added. */
    public fun resize(
        limit: RateLimit,
        sharePermille: Int,
    ) {
        val capacity = limit.capacityMilliTokens(sharePermille) * NANO_PER_MILLI_TOKEN
        // One token per second equals one nanotoken per nanosecond.
        val nanoTokensPerNano = limit.ratePerSecond * sharePermille / WHOLE_SHARE_PERMILLE
        update { it.resized(capacity, nanoTokensPerNano) }
    }

    /** Returns the time until [milliTokens] can be taken, or null if that will never be possible. */
    public fun timeUntil(milliTokens: Long): Duration? {
        val now = current()
        val wanted = milliTokens * NANO_PER_MILLI_TOKEN
        val missing = wanted - now.nanoTokens
        if (missing <= 0) return Duration.ZERO
        if (wanted > now.capacityNanoTokens || now.nanoTokensPerNano <= 0.0) return null
        return (missing / now.nanoTokensPerNano).nanoseconds
    }

    private fun takeable(
        state: BucketState,
        milliTokens: Long,
    ): Long {
        val whole = state.nanoTokens - state.nanoTokens % NANO_PER_MILLI_TOKEN
        return minOf(whole, milliTokens * NANO_PER_MILLI_TOKEN)
    }

    private fun current(): BucketState = state.get().advancedTo(nowNanos())

    /** Applies [change] to the state advanced to now, and returns that state as it was before the change. */
    private fun update(change: (BucketState) -> BucketState): BucketState {
        while (true) {
            val old = state.get()
            val now = old.advancedTo(nowNanos())
            if (state.compareAndSet(old, change(now))) return now
        }
    }

    private fun nowNanos(): Long = clock.elapsed().inWholeNanoseconds
}
