package org.chestnutloom.rate

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * The row `rights/{environment}/{account}`: which gateway holds which share of a client account's rate and burst.
 *
 * Why the fleet never admits more than `burst + rate * window` in any window:
 *
 * 1. A holder's share in force is never above its share in this row: it lowers the one in force before it writes a
 *    lower one, and raises it only after it has read a higher one. Shares in the row sum to at most 1000, so the shares
 *    in force do too, and all buckets together accrue at most the rate.
 * 2. A bucket's tokens, with those it lent that may still be spent, never exceed its share's part of the burst. So the
 *    tokens that exist at any moment are at most the burst, and a window admits at most these and what accrues in it.
 * 3. Tokens that travel with a share are deducted from the giver's bucket first, and wait in [Holding.grantedMilliTokens]
 *    while neither side has the share in force. A holder adds each grant once, because it remembers the sum it added;
 *    a new incarnation is a new holder and adds nothing that was granted to the one before.
 * 4. The row is made with the whole burst in the pool, once, because making it requires that there is no row. Later the
 *    pool only gets what a holder had left when it released its share. It does not accrue.
 * 5. The share of a holder whose lease was fenced, or whose VM runs a newer incarnation, goes to another holder without
 *    tokens. The fenced process can spend none, since each spend checks a proof younger than the lease.
 * 6. A change of the limit takes effect at each gateway on its own; until all have it, a window is bounded by the
 *    higher of the two rates and bursts.
 *
 * @property poolMilliTokens tokens that belong to the unassigned share, in thousandths
 */
@Serializable
public data class RightsRecord(
    public val holdings: List<Holding>,
    public val poolMilliTokens: Long,
) {
    /** The share that nobody holds. */
    public val unassignedPermille: Int
        get() = WHOLE_SHARE_PERMILLE - holdings.sumOf { it.sharePermille }

    /** Returns what [holder] has, or null. */
    public fun holdingOf(holder: RightsHolder): Holding? = holdings.find { it.holder == holder }

    /** Gives [holder] the unassigned share with the pool's tokens, and the shares of those that are [isGone]. */
    public fun claimedBy(
        holder: RightsHolder,
        limit: RateLimit,
        isGone: (RightsHolder) -> Boolean,
    ): RightsRecord {
        val gone = holdings.filter { it.holder != holder && isGone(it.holder) }
        val pool = minOf(poolMilliTokens, limit.capacityMilliTokens(unassignedPermille))
        val share = unassignedPermille + gone.sumOf { it.sharePermille }
        if (share == 0 && gone.isEmpty()) return this
        return copy(holdings = holdings - gone.toSet(), poolMilliTokens = 0).plus(holder, share, pool)
    }

    /** Moves [sharePermille] with [milliTokens] from [giver] to [receiver]; the giver has already deducted both. */
    public fun moved(
        giver: RightsHolder,
        receiver: RightsHolder,
        sharePermille: Int,
        milliTokens: Long,
    ): RightsRecord = minus(giver, sharePermille).plus(receiver, sharePermille, milliTokens)

    /** Returns the whole share of [holder] to the pool with the [milliTokens] it has left. */
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
        /** Returns the record of a client account that was never used: its whole burst is in the pool. */
        public fun unused(limit: RateLimit): RightsRecord =
            RightsRecord(emptyList(), limit.capacityMilliTokens(WHOLE_SHARE_PERMILLE))

        /** Returns the key of the rights row of [account]. */
        public fun rowKey(
            environment: String,
            account: ClientAccountId,
        ): String = "rights/$environment/${account.value}"
    }
}
