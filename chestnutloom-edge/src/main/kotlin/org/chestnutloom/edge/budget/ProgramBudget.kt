package org.chestnutloom.edge.budget

import kotlinx.coroutines.sync.Mutex
import org.chestnutloom.id.CallId

/** This gateway's view of the budget of one program; confined to the event loop. */
internal class ProgramBudget(
    private val self: BudgetHolder,
) {
    /** Held while the claim in the store is being changed. */
    val claiming = Mutex()

    /** The claims of other gateway incarnations, as last read. */
    var otherClaims: List<BudgetClaim> = emptyList()
        private set

    /** The version of the row as last read or written; 0 if the row did not exist. */
    var rowVersion = 0L
        private set

    /** Who may run a turn that no claim names, as last read or written. */
    var overdraftHolder: BudgetHolder? = null
        private set

    /** The claim of this gateway that the store has acknowledged last, or null if there is none. */
    private var writtenClaim: BudgetClaim? = null

    /** Whether a claim that the store has not acknowledged may have replaced [writtenClaim]. */
    var isWriteUncertain = false

    /** Whether a write is under way or due that no caller waits for. */
    var isSettling = false

    /** The turns in progress. */
    private val running = LinkedHashSet<Reservation>()

    /** The turn that runs or ran on the overdraft and that no acknowledged claim contains, or null if there is none. */
    private var overdraftTurn: Reservation? = null

    /** The tokens spent by completed turns on this gateway, including [assumedTokens]. */
    private var spentTokens = 0L

    /** The tokens that count as spent on this gateway because it no longer knows whether they are. */
    private var assumedTokens = 0L

    /** Whether this gateway has sent a claim to the store, whatever the outcome. */
    private var hasClaimed = false

    /** What turns of other gateways have spent that ended after their claims were written. */
    private val spentByTurn = HashMap<CallId, Long>()

    private val usedTokens: Long
        get() = spentTokens + running.sumOf { it.maxTokens }

    /** The tokens that the claims of other gateway incarnations leave of [budgetTokens] for further turns here. */
    fun freeTokens(budgetTokens: Long): Long = budgetTokens - otherClaims.sumOf { it.tokens } - usedTokens

    /** Whether turns are in progress or being admitted. */
    val isBusy: Boolean
        get() = running.isNotEmpty() || claiming.isLocked

    /** Whether this gateway has run a turn that the store does not know of, so that it must not be forgotten. */
    val hasUnwrittenTurn: Boolean
        get() = overdraftTurn != null

    /** Whether this gateway knows what the row does not tell and what no stored turn shows. */
    val needsWrite: Boolean
        get() = isSettling || isWriteUncertain || hasUnwrittenTurn

    /** Whether the row does not contain the current claim of this gateway. */
    val isOutdated: Boolean
        get() = isWriteUncertain || (hasClaimed && currentClaim() != writtenClaim)

    /** Whether nothing has been spent or reserved here and no other gateway held a claim when the row was last read. */
    val isUnused: Boolean
        get() = usedTokens == 0L && otherClaims.all { it.tokens == 0L }

    /** Whether a turn of up to [maxTokens] can start before a claim on its tokens is written. */
    fun allowsOverdraft(
        budgetTokens: Long,
        maxTokens: Long,
    ): Boolean = overdraftHolder == self && overdraftTurn == null && maxTokens <= freeTokens(budgetTokens)

    /** Starts [reservation], whose tokens have been claimed. */
    fun start(reservation: Reservation) {
        reservation.startsProgram = isUnused
        reservation.isStarted = true
        running += reservation
    }

    /** Starts [reservation] before a claim on its tokens is written. */
    fun startOnOverdraft(reservation: Reservation) {
        start(reservation)
        overdraftTurn = reservation
    }

    /** Ends [reservation], of which [tokens] were spent. */
    fun end(
        reservation: Reservation,
        tokens: Long,
    ) {
        if (!running.remove(reservation)) return
        spentTokens += tokens
        if (tokens == 0L && isOnOverdraft(reservation)) overdraftTurn = null
    }

    /** Returns whether [reservation] runs or ran on the overdraft and no claim contains it. */
    fun isOnOverdraft(reservation: Reservation): Boolean = overdraftTurn === reservation

    /** Returns the claim that covers all turns so far, and [starting] if it is given. */
    fun currentClaim(starting: Reservation? = null): BudgetClaim {
        val pending = (running + setOfNotNull(starting)).map { PendingTurn(it.turn, it.maxTokens) }
        val tokens = spentTokens + pending.sumOf { it.tokens }
        return BudgetClaim(self.gateway, self.incarnation, tokens, spentTokens - assumedTokens, pending)
    }

    /** Returns the row with [claim] of this gateway, which takes the overdraft if nobody has it. */
    fun rowWith(claim: BudgetClaim): BudgetRow {
        hasClaimed = true
        return BudgetRow(otherClaims + claim, overdraftHolder ?: self)
    }

    /** Returns the turns whose tokens a claim contains that is written now, so far as the store does not know them. */
    fun unwrittenTurns(starting: Reservation?): Set<Reservation> = setOfNotNull(overdraftTurn, starting)

    /** Applies that the store has acknowledged [claim], which contains the [unwritten] turns, in a row with [version]. */
    fun acknowledge(
        claim: BudgetClaim,
        unwritten: Set<Reservation>,
        version: Long,
    ) {
        writtenClaim = claim
        isWriteUncertain = false
        overdraftHolder = overdraftHolder ?: self
        rowVersion = version
        if (overdraftTurn in unwritten) overdraftTurn = null
    }

    /** Applies [row], read at [version], or null if there is none. */
    fun apply(
        row: BudgetRow?,
        version: Long,
    ) {
        val (own, others) = row?.claims.orEmpty().partition { it.holder == self }
        otherClaims = others.map { it.settled(spentByTurn) }
        overdraftHolder = row?.overdraftHolder
        rowVersion = version
        own.forEach(::applyOwnClaim)
    }

    private fun applyOwnClaim(claim: BudgetClaim) {
        if (!hasClaimed) {
            // The claim predates the eviction of the program from memory. Its unspent part is unknown and counts as spent.
            spentTokens += claim.tokens
            assumedTokens += claim.tokens - claim.spentTokens
        }
        hasClaimed = true
    }

    /** Applies that turns of other gateways have ended and what they spent. */
    fun settle(spent: Map<CallId, Long>) {
        spentByTurn += spent
        otherClaims = otherClaims.map { it.settled(spentByTurn) }
    }

    /**
     * Whether turns that are known to have run or to be in progress leave less than [maxTokens] of [budgetTokens].
     *
     * A gateway for which [isRegistered] is true has released what its turns in progress do not need.
     */
    fun isExhausted(
        budgetTokens: Long,
        maxTokens: Long,
        isRegistered: (BudgetClaim) -> Boolean,
    ): Boolean {
        val ownTokens = usedTokens - assumedTokens + maxTokens
        val otherTokens = otherClaims.sumOf { if (isRegistered(it)) it.tokens else it.spentTokens }
        return ownTokens + otherTokens > budgetTokens
    }
}
