package org.chestnutloom.rate

import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Returns the rights of [holder] before it has read the rights row: none. */
public fun heldRights(
    clock: Clock,
    holder: RightsHolder,
    limit: RateLimit,
): HeldRights = HeldRights(clock, holder, limit)

/** One gateway's rights of one client account: its share in force, its tokens, and tokens that it borrowed. */
public class HeldRights internal constructor(
    private val clock: Clock,
    public val holder: RightsHolder,
    private var limit: RateLimit,
) {
    private val bucket = tokenBucket(clock, limit, 0)
    private val borrowed = ArrayDeque<BorrowedTokens>()
    private var version = 0L
    private var addedGrantsMilliTokens = 0L

    /** The share of rate and burst that this gateway may spend from now. */
    @get:Synchronized
    public var sharePermille: Int = 0
        private set

    /** Thousandths of a token that this gateway could spend now. */
    @get:Synchronized
    public val milliTokens: Long
        get() = bucket.milliTokens + borrowedMilliTokens()

    /** Puts a new limit in force. */
    @Synchronized
    public fun changeLimit(newLimit: RateLimit) {
        if (newLimit == limit) return
        limit = newLimit
        bucket.resize(limit, sharePermille)
    }

    /** Puts [record] in force, which was read or written at [rowVersion]; older versions than the last are ignored. */
    @Synchronized
    public fun apply(
        record: RightsRecord,
        rowVersion: Long,
    ) {
        if (rowVersion <= version) return
        version = rowVersion
        val holding = record.holdingOf(holder) ?: Holding(holder, 0, addedGrantsMilliTokens)
        changeShare(holding.sharePermille)
        bucket.add(holding.grantedMilliTokens - addedGrantsMilliTokens)
        addedGrantsMilliTokens = holding.grantedMilliTokens
    }

    /** Spends one request's worth of borrowed and own tokens, if there is as much. */
    @Synchronized
    public fun trySpend(): Boolean {
        val missing = maxOf(0, REQUEST_MILLI_TOKENS - borrowedMilliTokens())
        if (!bucket.tryTake(missing)) return false
        spendBorrowed(REQUEST_MILLI_TOKENS - missing)
        return true
    }

    /** Lends up to [milliTokens], to be spent by the borrower within [validity]; returns how many thousandths. */
    @Synchronized
    public fun lend(
        milliTokens: Long,
        validity: Duration,
    ): Long = bucket.lend(milliTokens, validity)

    /** Takes note of [milliTokens] that another gateway lent and that may be spent until [endsAt]. */
    @Synchronized
    public fun borrow(
        milliTokens: Long,
        endsAt: Duration,
    ) {
        borrowed.addLast(BorrowedTokens(milliTokens, endsAt))
    }

    /**
     * Lowers the share in force by [permille] and deducts the tokens that go with it, to give both away.
     *
     * Returns null, and changes nothing, when the remaining share had no room for the tokens that are lent.
     */
    @Synchronized
    public fun beginTransfer(permille: Int): PendingTransfer? {
        val remaining = sharePermille - permille
        if (permille <= 0 || remaining < 0) return null
        if (bucket.lentMilliTokens > limit.capacityMilliTokens(remaining)) return null
        val room = limit.capacityMilliTokens(permille)
        val part = minOf(room, bucket.milliTokens * permille / sharePermille)
        val taken = bucket.takeUpTo(part)
        changeShare(remaining)
        return PendingTransfer(permille, taken)
    }

    /** Takes back what was set aside and certainly not given away. */
    @Synchronized
    public fun cancelTransfer(transfer: PendingTransfer) {
        changeShare(sharePermille + transfer.sharePermille)
        bucket.add(transfer.milliTokens)
    }

    /** Returns how long it takes until one request can be admitted here, or null when that will never be. */
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
        var left = milliTokens
        while (left > 0 && borrowed.isNotEmpty()) {
            val first = borrowed.removeFirst()
            val spent = minOf(left, first.milliTokens)
            left -= spent
            if (spent < first.milliTokens) borrowed.addFirst(first.copy(milliTokens = first.milliTokens - spent))
        }
    }
}
