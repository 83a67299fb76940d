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
 * Holds one gateway's tokens of one client account, and may be used by many threads at once.
 *
 * Tokens accrue on the monotonic clock at the share's part of the rate, up to the share's part of the burst.
 */
public class TokenBucket internal constructor(
    private val clock: Clock,
) {
    private val state = AtomicReference(BucketState(nowNanos(), 0, 0, 0.0))

    /** Whole thousandths of a token that can be taken now. */
    public val milliTokens: Long
        get() = current().nanoTokens / NANO_PER_MILLI_TOKEN

    /** Thousandths of a token that are lent and may still be spent elsewhere, rounded up. */
    public val lentMilliTokens: Long
        get() = (current().lentNanoTokens + NANO_PER_MILLI_TOKEN - 1) / NANO_PER_MILLI_TOKEN

    /** Takes [milliTokens] if there are as many. */
    public fun tryTake(milliTokens: Long): Boolean {
        val wanted = milliTokens * NANO_PER_MILLI_TOKEN
        val before = update { if (it.nanoTokens >= wanted) it.copy(nanoTokens = it.nanoTokens - wanted) else it }
        return before.nanoTokens >= wanted
    }

    /** Takes up to [milliTokens], and returns how many thousandths it took. */
    public fun takeUpTo(milliTokens: Long): Long {
        val before = update { it.copy(nanoTokens = it.nanoTokens - takeable(it, milliTokens)) }
        return takeable(before, milliTokens) / NANO_PER_MILLI_TOKEN
    }

    /** Takes up to [milliTokens] to be spent elsewhere within [validity], and returns how many thousandths it took. */
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

    /** Adds [milliTokens], or as many as there is room for. */
    public fun add(milliTokens: Long) {
        update { it.withTokens(it.nanoTokens + milliTokens * NANO_PER_MILLI_TOKEN) }
    }

    /** Changes the bucket to [sharePermille] of [limit]; tokens that no longer fit are dropped, and none are added. */
    public fun resize(
        limit: RateLimit,
        sharePermille: Int,
    ) {
        val capacity = limit.capacityMilliTokens(sharePermille) * NANO_PER_MILLI_TOKEN
        val perNano = limit.ratePerSecond * sharePermille / WHOLE_SHARE_PERMILLE
        update { it.resized(capacity, perNano) }
    }

    /** Returns how long it takes until [milliTokens] can be taken, or null when that will never be. */
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

    /** Applies [change] to the state as of now, and returns the state as of now before the change. */
    private fun update(change: (BucketState) -> BucketState): BucketState {
        while (true) {
            val old = state.get()
            val now = old.advancedTo(nowNanos())
            if (state.compareAndSet(old, change(now))) return now
        }
    }

    private fun nowNanos(): Long = clock.elapsed().inWholeNanoseconds
}
