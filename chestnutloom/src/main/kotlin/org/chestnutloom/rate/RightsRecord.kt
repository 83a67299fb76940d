package org.chestnutloom.rate

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * The row `rights/{environment}/{account}`: the shares of a client account's rate and burst held by each gateway.
 *
 * Invariant: the fleet never admits more than `burst + rate * window` requests in any window. It holds because:
 *
 * 1. The share that a holder uses never exceeds its share in this row: it lowers the used share before it writes a
 *    lower one, and raises it only after it has read a higher one. The shares in the row sum to at most 1000, so the
 *    used shares do too, and all buckets together accrue at most the rate.
 * 2. The tokens in a bucket plus its lent tokens that may still be spent never exceed its share of the burst. So the
 *    total number of tokens at any time is at most the burst, and a window admits at most these plus what accrues in
 *    it.
 * 3. Tokens that are transferred with a share are first deducted from the giver's bucket, and are recorded only in
 *    [Holding.grantedMilliTokens] while neither side uses the share. A holder adds each grant once, because it keeps
 *    the total that it has added; a new incarnation is a new holder and adds no grants of the previous one.
 * 4. The row is created with the whole burst in the pool exactly once, because its creation is conditional on its
 *    absence. After that, only the remaining tokens of a holder that releases its share are added to the pool. The pool
 *    does not accrue tokens.
 * 5. The share of a holder whose lease was fenced, or whose VM runs a newer incarnation, moves to another holder
 *    without tokens. The fenced process cannot spend any, since each spend requires a proof that is younger than the
 *    lease.
 * 6. A change of the limit is applied by each gateway independently; until all have applied it, a window is bounded by
 *    the higher of the two rates and bursts.
 *
 * @property poolMilliTokens tokens of the unassigned share, in thousandths
 */
@Serializable
public data class RightsRecord(
    public val holdings: List<Holding>,
    public val poolMilliTokens: Long,
) {
    /** The share without a holder. */
    public val unassignedPermille: Int
        get() = WHOLE_SHARE_PERMILLE - holdings.sumOf { it.sharePermille }

    /** Returns the holding of [holder], or null if it has none. */
    public fun holdingOf(holder: RightsHolder): Holding? = holdings.find { it.holder == holder }

    /** Gives [holder] the unassigned share with the pool's tokens, and the shares of ended holders without tokens. */
    public fun claimedBy(
        holder: RightsHolder,
        limit: RateLimit,
        hasEnded: (RightsHolder) -> Boolean,
    ): RightsRecord {
        val ended = holdings.filter { it.holder != holder && hasEnded(it.holder) }
        val pool = minOf(poolMilliTokens, limit.capacityMilliTokens(unassignedPermille))
        val share = unassignedPermille + ended.sumOf { it.sharePermille }
        if (share == 0 && ended.isEmpty()) return this
        return copy(holdings = holdings - ended.toSet(), poolMilliTokens = 0).plus(holder, share, pool)
    }

    /** Moves [sharePermille] and [milliTokens] from [giver], which has already deducted both, to [receiver]. */
    public fun moved(
        giver: RightsHolder,
        receiver: RightsHolder,
        sharePermille: Int,
        milliTokens: Long,
    ): RightsRecord = minus(giver, sharePermille).plus(receiver, sharePermille, milliTokens)

    /** Releases the whole share of [holder] and adds its remaining [milliTokens] to the pool. */
    public fun releasedBy(
        holder: RightsHolder,
        milliTokens: Long,
    ): RightsRecord =
        copy(
            holdings = holdings.filter { it.holder != holder },
            poolMilliTokens = poolMilliTokens + milliTokens,
        )

    private fun minus(
        holder: RightsHolder,
        sharePermille: Int,
    ): RightsRecord =
        copy(
            holdings =
                holdings.map {
                    if (it.holder == holder) it.copy(sharePermille = it.sharePermille - sharePermille) else it
                },
        )

    private fun plus(
        holder: RightsHolder,
        sharePermille: Int,
        milliTokens: Long,
    ): RightsRecord {
        val old = holdingOf(holder) ?: Holding(holder, 0, 0)
        val new =
            old.copy(
                sharePermille = old.sharePermille + sharePermille,
                grantedMilliTokens = old.grantedMilliTokens + milliTokens,
            )
        return copy(holdings = holdings.filter { it.holder != holder } + new)
    }

    public companion object {
        /** Returns the initial record of a client account, with the whole burst in the pool. */
        public fun unused(limit: RateLimit): RightsRecord =
            RightsRecord(emptyList(), limit.capacityMilliTokens(WHOLE_SHARE_PERMILLE))

        /** Returns the row key of the rights of [account]. */
        public fun rowKey(
            environment: String,
            account: ClientAccountId,
        ): String = "rights/$environment/${account.value}"
    }
}
