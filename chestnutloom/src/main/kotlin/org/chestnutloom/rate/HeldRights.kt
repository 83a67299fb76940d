package org.chestnutloom.rate

import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Returns the rights of [holder], which are empty until a rights row is applied. */
public fun heldRights(
    clock: Clock,
    holder: RightsHolder,
    limit: RateLimit,
): HeldRights = HeldRights(clock, holder, limit)

/** The rights of one gateway for one client account: its current share, its tokens and the tokens it borrowed. */
public class HeldRights internal constructor(
    private val clock: Clock,
    public val holder: RightsHolder,
    private var limit: RateLimit,
) {
    private val bucket = tokenBucket(clock, limit, 0)
    private val borrowed = ArrayDeque<BorrowedTokens>()
    private var version = 0L
    private var appliedGrantMilliTokens = 0L

    /** The share of rate and burst that this gateway currently uses. */
    @get:Synchronized
    public var sharePermille: Int = 0
        private set

    /** Thousandths of a token that this gateway can spend now. */
    @get:Synchronized
    public val milliTokens: Long
        get() = bucket.milliTokens + borrowedMilliTokens()

    /** Applies a new limit. */
    @Synchronized
    public fun changeLimit(newLimit: RateLimit) {
        if (newLimit == limit) return
        limit = newLimit
        bucket.resize(limit, sharePermille)
    }

    /** Applies [record], read or written at [rowVersion]; versions not newer than the last one are ignored. */
    @Synchronized
    public fun apply(
        record: RightsRecord,
        rowVersion: Long,
    ) {
        if (rowVersion <= version) return
        version = rowVersion
        val holding = record.holdingOf(holder) ?: Holding(holder, 0, appliedGrantMilliTokens)
        changeShare(holding.sharePermille)
        bucket.add(holding.grantedMilliTokens - appliedGrantMilliTokens)
        appliedGrantMilliTokens = holding.grantedMilliTokens
    }

    /** Spends the tokens of one request, borrowed ones first; returns false if there are too few. */
    @Synchronized
    public fun trySpend(): Boolean {
        val missing = maxOf(0, REQUEST_MILLI_TOKENS - borrowedMilliTokens())
        if (!bucket.tryTake(missing)) return false
        spendBorrowed(REQUEST_MILLI_TOKENS - missing)
        return true
    }

    /** Lends up to [milliTokens] to be spent within [validity]; returns the thousandths of a token lent. */
    @Synchronized
    public fun lend(
        milliTokens: Long,
        validity: Duration,
    ): Long = bucket.lend(milliTokens, validity)

    /** Adds [milliTokens] borrowed from another gateway, which may be spent until [endsAt]. */
    @Synchronized
    public fun borrow(
        milliTokens: Long,
        endsAt: Duration,
    ) {
        borrowed.addLast(BorrowedTokens(milliTokens, endsAt))
    }

    /**
     * Lowers the current share by [permille] and deducts its part of the tokens, in order to transfer both.
     *
     * Returns null and changes nothing if the lent tokens would exceed the capacity of the remaining share.
     */
    @Synchronized
    public fun beginTransfer(permille: Int): PendingTransfer? {
        val remaining = sharePermille - permille
        if (permille <= 0 || remaining < 0) return null
        if (bucket.lentMilliTokens > limit.capacityMilliTokens(remaining)) return null
        val capacity = limit.capacityMilliTokens(permille)
        val part = minOf(capacity, bucket.milliTokens * permille / sharePermille)
        val taken = bucket.takeUpTo(part)
        changeShare(remaining)
        return PendingTransfer(permille, taken)
    }

    /** Cancels a transfer that certainly did not take effect, and restores its share and tokens. */
    @Synchronized
    public fun cancelTransfer(transfer: PendingTransfer) {
        changeShare(sharePermille + transfer.sharePermille)
        bucket.add(transfer.milliTokens)
    }

    /** Returns the time until one request can be admitted here, or null if that will never be possible. */
    @Synchronized
    public fun timeUntilNextRequest(): Duration? = bucket.timeUntil(REQUEST_MILLI_TOKENS - borrowedMilliTokens())

    private fun changeShare(permille: Int) {
        sharePermille = permille
        bucket.resize(limit, permille)
    }

    private fun borrowedMilliTokens(): Long {
        val now = clock.elapsed()
        borrowed.removeAll { it.endsAt <= now }
        return borrowed.sumOf { it.milliTokens }
    }

    private fun spendBorrowed(milliTokens: Long) {
        var remaining = milliTokens
        while (remaining > 0 && borrowed.isNotEmpty()) {
            val first = borrowed.removeFirst()
            val spent = minOf(remaining, first.milliTokens)
            remaining -= spent
            if (spent < first.milliTokens) borrowed.addFirst(first.copy(milliTokens = first.milliTokens - spent))
        }
    }
}
