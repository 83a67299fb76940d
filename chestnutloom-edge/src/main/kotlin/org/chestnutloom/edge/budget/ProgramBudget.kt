package org.chestnutloom.edge.budget

import kotlinx.coroutines.sync.Mutex
import org.chestnutloom.id.CallId
import kotlin.time.Duration

/**
 * This gateway's view of the budget of one program; confined to the event loop.
 *
 * @param generation differs from that of each earlier view of this incarnation, whose claim is that of another holder
 */
internal class ProgramBudget(
    private val self: BudgetHolder,
    private val generation: Long,
) {
    /** Held while the claim in the store is being changed. */
    val claiming = Mutex()

    /** The claims of other gateway incarnations, and of evicted views of this one, as last read. */
    var otherClaims: List<BudgetClaim> = emptyList()
        private set

    /** The version of the row as last read or written; 0 if the row did not exist. */
    var rowVersion = 0L
        private set

    /** The claim of this gateway that the store has acknowledged last, or null if there is none. */
    private var writtenClaim: BudgetClaim? = null

    /** Whether a claim that the store has not acknowledged may have replaced [writtenClaim]. */
    var isWriteUncertain = false

    /** Whether a write is under way or due that no caller waits for. */
    var isSettling = false

    /** The turns in progress. */
    private val running = LinkedHashSet<Reservation>()

    /** The tokens spent by completed turns on this gateway. */
    private var spentTokens = 0L

    /** The part of [spentTokens] that turns spent which are not stored. */
    private var unstoredTokens = 0L

    /** The part of [unstoredTokens] that [writtenClaim] contains as spent. */
    private var writtenUnstoredTokens = 0L

    /** What turns that are not stored may spend in total, including what they have spent. */
    private var unstoredLimit = 0L

    /** What turns of other gateways have spent that ended after their claims were written. */
    private val spentByTurn = HashMap<CallId, Long>()

    private val runningUnstoredTokens: Long
        get() = running.filterNot { it.isStored }.sumOf { it.maxTokens }

    private val usedTokens: Long
        get() = spentTokens + running.sumOf { it.maxTokens }

    /** The tokens that the claims of other gateway incarnations leave of [budgetTokens] for further turns here. */
    fun freeTokens(budgetTokens: Long): Long = budgetTokens - otherClaims.sumOf { it.tokens } - usedTokens

    /**
     * The part of one turn with at most [maxTokens] for which the budget may be exceeded, as turns of failed gateways may
     * never have run.
     *
     * A claim that was written by a gateway which failed before it sent the turn to a target can't be told from one for a
     * turn that ran. All gateways let the claims in the row exceed the budget by one turn at most, so that callers never get
     * more than that, whichever gateways are taken for failed.
     */
    fun toleratedTokens(
        maxTokens: Long,
        isGone: (BudgetClaim) -> Boolean,
    ): Long = minOf(maxTokens, otherClaims.filter(isGone).sumOf { it.pendingTokens })

    /** The number of other holders whose claims exceed what they have spent and what their turns in progress need. */
    val unsettledClaimCount: Int
        get() = otherClaims.count { it.aheadTokens > 0 }

    /** Whether turns are in progress or being admitted. */
    val isBusy: Boolean
        get() = running.isNotEmpty() || claiming.isLocked

    /** Whether this gateway knows what the row does not tell and what no stored turn shows. */
    val needsWrite: Boolean
        get() =
            isSettling ||
                isWriteUncertain ||
                unstoredTokens > writtenUnstoredTokens ||
                unstoredLimit > unstoredTokens + runningUnstoredTokens

    /** Whether the row does not contain the current claim of this gateway, without tokens that no turn needs. */
    val isOutdated: Boolean
        get() = isWriteUncertain || (writtenClaim != null && currentClaim() != writtenClaim)

    /** Whether nothing has been spent or reserved here and no other gateway held a claim when the row was last read. */
    val isUnused: Boolean
        get() = usedTokens == 0L && otherClaims.all { it.tokens == 0L }

    /** Whether the tokens of [reservation] are claimed already. */
    fun covers(reservation: Reservation): Boolean =
        !reservation.isStored &&
            unstoredTokens + runningUnstoredTokens + reservation.maxTokens <= unstoredLimit

    /** Starts [reservation], whose tokens have been claimed. */
    fun start(reservation: Reservation) {
        reservation.startsProgram = isUnused
        running += reservation
    }

    /** Ends [reservation], of which [tokens] were spent. */
    fun end(
        reservation: Reservation,
        tokens: Long,
    ) {
        if (!running.remove(reservation)) return
        spentTokens += tokens
        if (!reservation.isStored) unstoredTokens += tokens
    }

    /**
     * Returns the claim that covers all turns so far, [starting] if it is given, and [aheadTokens] for further turns that
     * are not stored.
     */
    fun currentClaim(
        starting: Reservation? = null,
        aheadTokens: Long = 0,
    ): BudgetClaim {
        val (stored, unstored) = (running + listOfNotNull(starting)).partition { it.isStored }
        val pending = stored.map { PendingTurn(it.turn, it.maxTokens) }
        val tokens = spentTokens + pending.sumOf { it.tokens } + unstored.sumOf { it.maxTokens } + aheadTokens
        return BudgetClaim(self.gateway, self.incarnation, tokens, spentTokens, pending, generation)
    }

    /** Returns the row with [claim] of this gateway. */
    fun rowWith(claim: BudgetClaim): BudgetRow = BudgetRow(otherClaims + claim)

    /**
     * Prepares for a write of [claim], which may lower the present one, so that no turn starts on tokens that are being
     * released. Returns what [acknowledge] has to be called with.
     */
    fun beginWrite(claim: BudgetClaim): Long {
        unstoredLimit = minOf(unstoredLimit, unstoredTokens + claim.aheadTokens)
        return unstoredTokens
    }

    /**
     * Applies that the store has acknowledged [claim] in a row with [version].
     *
     * @param spentUnstoredTokens what [beginWrite] returned
     */
    fun acknowledge(
        claim: BudgetClaim,
        spentUnstoredTokens: Long,
        version: Long,
    ) {
        writtenClaim = claim
        writtenUnstoredTokens = spentUnstoredTokens
        unstoredLimit = spentUnstoredTokens + claim.aheadTokens
        isWriteUncertain = false
        rowVersion = version
    }

    /** Applies [row], read at [version], or null if there is none. */
    fun apply(
        row: BudgetRow?,
        version: Long,
    ) {
        val (own, others) = row?.claims.orEmpty().partition { it.isOf(self, generation) }
        writtenClaim = own.firstOrNull()
        // A write that has not been answered has the version of the row as its condition.
        if (version != rowVersion) isWriteUncertain = false
        otherClaims = joinEvicted(others.map { it.settled(spentByTurn) })
        rowVersion = version
    }

    /** Joins the settled claims of evicted views of this incarnation, so that the row does not grow with evictions. */
    private fun joinEvicted(claims: List<BudgetClaim>): List<BudgetClaim> {
        val (evicted, others) = claims.partition { it.holder == self && it.pending.isEmpty() }
        if (evicted.size < 2) return claims
        return others +
            evicted.first().copy(tokens = evicted.sumOf { it.tokens }, spentTokens = evicted.sumOf { it.spentTokens })
    }

    /** Applies that turns of other gateways have ended and what they spent. */
    fun settle(spent: Map<CallId, Long>) {
        spentByTurn += spent
        otherClaims = otherClaims.map { it.settled(spentByTurn) }
    }

    /**
     * Whether turns that are known to have run, to be in progress or to have been broken off leave less than [maxTokens] of
     * [budgetTokens].
     *
     * A gateway that is not gone has released what its turns in progress do not need. The turns of one that has been gone for
     * at least [settledAfter] can't be stored any more and count at their most, but for what is tolerated.
     *
     * @param goneFor returns for how long the holder of a claim has been gone, or null if it is not
     */
    fun isExhausted(
        budgetTokens: Long,
        maxTokens: Long,
        settledAfter: Duration,
        goneFor: (BudgetClaim) -> Duration?,
    ): Boolean {
        val (gone, alive) = otherClaims.partition { goneFor(it) != null }
        val settled = gone.filter { claim -> goneFor(claim).let { it != null && it >= settledAfter } }
        val brokenOffTokens = settled.sumOf { it.pendingTokens }
        val otherTokens = alive.sumOf { it.tokens } + gone.sumOf { it.spentTokens } + brokenOffTokens
        return usedTokens + maxTokens + otherTokens - minOf(maxTokens, brokenOffTokens) > budgetTokens
    }
}
