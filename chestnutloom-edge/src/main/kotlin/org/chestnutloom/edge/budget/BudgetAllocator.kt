package org.chestnutloom.edge.budget

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.store.ChangeFailure
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Enforces token budgets of programs across gateways, restarts and store outages; confined to the event loop.
 *
 * A turn that will be stored is named in the program's row, with the most that it may spend, before it is sent to a target.
 * The failure of a gateway leaves only turns unknown that it had not ended: what a named turn spent is read from the stored
 * turn, if it was answered whole; otherwise it counts at its most. As it may never have been sent, one turn is tolerated
 * beyond the budget while such turns are named.
 *
 * Turns that are not stored are not named, as they must go on while the store is unavailable. A gateway claims tokens for a few of
 * them ahead, which count as spent when it fails.
 *
 * A turn is refused as over budget only if the tokens that are known to be spent, or that turns which can't end any more may
 * have spent, leave no room for it; otherwise its caller may try again.
 *
 * @param scope runs the writes that no caller waits for
 * @param maxPrograms the number of programs whose budgets are kept in memory
 */
public class BudgetAllocator(
    private val rows: BudgetRows,
    private val peers: BudgetPeers,
    private val storedTurns: SpentTokensReader,
    private val self: BudgetHolder,
    private val scope: CoroutineScope,
    private val maxPrograms: Int = MAX_PROGRAMS,
) {
    private val refusals = BudgetRefusals(peers)

    /** The number of budgets that were ever created. */
    private var generations = 0L

    private val budgets = LinkedHashMap<BudgetKey, ProgramBudget>(INITIAL_PROGRAMS, LOAD_FACTOR, true)

    /** Returns whether the first turn of [key]'s program has not run yet, as far as this gateway knows. */
    public fun isUnused(key: BudgetKey): Boolean = budgets[key]?.isUnused ?: true

    /** Refuses the turn if the store shows that no tokens are left for it; asks only if this gateway has reason to doubt it. */
    public suspend fun check(request: TurnTokens): Refusal? {
        val budget = budgets[request.key] ?: return null
        if (hasRoom(request, budget)) return null
        return budget.claiming.withLock { findShortage(request, budget) }
    }

    /** Reserves the tokens of [request], or refuses the turn as not run. */
    public suspend fun reserve(request: TurnTokens): Either<Refusal, Reservation> {
        val budget = budgetOf(request.key)
        val reservation = reservation(request, budget)
        if (budget.covers(reservation)) {
            budget.start(reservation)
            return reservation.right()
        }
        // Not cancelled when the caller leaves, so that the outcome of the write is known.
        val claim = scope.async { budget.claiming.withLock { claim(request, budget, reservation) } }
        try {
            return claim.await()?.left() ?: reservation.right()
        } catch (e: CancellationException) {
            reservation.complete(usedTokens = 0)
            throw e
        }
    }

    private fun reservation(
        request: TurnTokens,
        budget: ProgramBudget,
    ) = Reservation(request.turn, request.maxTokens, request.isStored) { ended, usedTokens, isWhole ->
        budget.end(ended, usedTokens)
        val isUnstarted = ended.startsProgram && usedTokens == 0L
        val isUnrecorded = if (ended.isStored) !isWhole else isUnstarted
        if (isUnrecorded) writeSoon(request.key, budget)
    }

    /**
     * Records what is spent of the budget [key], and that its turns which have ended need no more.
     *
     * Returns whether the store has acknowledged it.
     */
    public suspend fun settle(key: BudgetKey): Boolean {
        val budget = budgets[key] ?: return true
        return settle(key, budget)
    }

    /** Returns whether the row contains the current claim. */
    private suspend fun settle(
        key: BudgetKey,
        budget: ProgramBudget,
    ): Boolean =
        budget.claiming.withLock {
            repeat(MAX_ATTEMPTS) {
                if (!budget.isOutdated) return true
                val failure = write(key, budget, budget.currentClaim())
                if (failure is ChangeFailure.Failed) {
                    logger.warnEvent("budget_settle_failed", "program" to key.program, "cause" to failure.cause)
                    return false
                }
            }
            return !budget.isOutdated
        }

    /**
     * Settles all budgets for which neither the row nor a stored turn tells what is spent, until cancelled; several at a
     * time, most recently used programs first.
     */
    public suspend fun settleAll() {
        val unsettled =
            budgets.entries
                .filter { it.value.needsWrite }
                .map { it.key to it.value }
                .asReversed()
        unsettled.chunked(CONCURRENT_SETTLEMENTS).forEach { part ->
            coroutineScope { part.map { (key, budget) -> async { settle(key, budget) } }.awaitAll() }
        }
    }

    /** Writes the claim without letting a caller wait. */
    private fun writeSoon(
        key: BudgetKey,
        budget: ProgramBudget,
    ) {
        if (budget.isSettling) return
        budget.isSettling = true
        scope.launch {
            try {
                repeat(SETTLE_TRIES) {
                    if (settle(key, budget)) return@launch
                    delay(SETTLE_RETRY_DELAY)
                }
            } finally {
                budget.isSettling = false
            }
        }
    }

    private fun budgetOf(key: BudgetKey): ProgramBudget {
        val budget = budgets.getOrPut(key) { ProgramBudget(self, ++generations) }
        if (budgets.size > maxPrograms) evictOldestIdle(except = budget)
        return budget
    }

    /**
     * Forgets the budget that was not used for the longest time, once the store has what only this gateway knows of it.
     *
     * If too many wait for the store, it is forgotten at once: its claim covers all that it has spent, and counts in full.
     */
    private fun evictOldestIdle(except: ProgramBudget) {
        if (budgets.size > maxPrograms + MAX_UNSETTLED_PROGRAMS) {
            budgets.entries.firstOrNull { it.value !== except && !it.value.isBusy }?.let { budgets -= it.key }
            return
        }
        val oldest =
            budgets.entries.firstOrNull { it.value !== except && !it.value.isBusy && !it.value.isSettling } ?: return
        val (key, budget) = oldest.key to oldest.value
        if (!budget.needsWrite) {
            budgets -= key
            return
        }
        budget.isSettling = true
        scope.launch {
            val isSettled = settle(key, budget)
            budget.isSettling = false
            if (isSettled && !budget.isBusy) budgets -= key
        }
    }

    /** Claims the tokens of [reservation] and starts it, and returns the refusal, or null on success. */
    private suspend fun claim(
        request: TurnTokens,
        budget: ProgramBudget,
        reservation: Reservation,
    ): Refusal? {
        repeat(MAX_ATTEMPTS) {
            if (reservation.isCompleted) return null
            if (budget.covers(reservation)) return null.also { budget.start(reservation) }
            findShortage(request, budget)?.let { return it }
            val claim = budget.currentClaim(reservation, aheadTokens(request, budget))
            val failure =
                write(request.key, budget, claim) ?: return null.also { start(request.key, budget, reservation) }
            if (failure is ChangeFailure.Failed) {
                writeSoon(request.key, budget)
                return refusals.claimFailed(request.key, failure)
            }
        }
        return refusals.contended()
    }

    /** Returns why no tokens are left for [request], or null if some are according to the row as last read. */
    private suspend fun findShortage(
        request: TurnTokens,
        budget: ProgramBudget,
    ): Refusal? {
        if (hasRoom(request, budget)) return null
        readSettled(request, budget)?.let { return refusals.claimFailed(request.key, it) }
        if (hasRoom(request, budget)) return null
        val claims = budget.otherClaims.filter { peers.goneFor(it) == null }
        val arePeersSettled = claims.isEmpty() || peers.settle(request.key, claims)
        if (claims.isNotEmpty()) readSettled(request, budget)?.let { return refusals.claimFailed(request.key, it) }
        val toleratedTokens = budget.toleratedTokens(request.maxTokens) { peers.goneFor(it) != null }
        if (hasRoom(request, budget, toleratedTokens)) return null
        return if (arePeersSettled) refusals.noneLeft(request, budget) else refusals.contended()
    }

    private fun hasRoom(
        request: TurnTokens,
        budget: ProgramBudget,
        toleratedTokens: Long = 0,
    ): Boolean = request.maxTokens <= budget.freeTokens(request.budgetTokens) + toleratedTokens

    /** Starts [reservation], which has been claimed, unless its caller has left meanwhile. */
    private fun start(
        key: BudgetKey,
        budget: ProgramBudget,
        reservation: Reservation,
    ) {
        if (reservation.isCompleted) writeSoon(key, budget) else budget.start(reservation)
    }

    /** Returns by how much a claim exceeds the current need. */
    private fun aheadTokens(
        request: TurnTokens,
        budget: ProgramBudget,
    ): Long {
        if (request.isStored) return 0
        val turns = (MAX_TURNS_AHEAD - budget.unsettledClaimCount).coerceAtLeast(0)
        val freeTokens = budget.freeTokens(request.budgetTokens) - request.maxTokens
        val tokens = minOf(turns * request.maxTokens, request.budgetTokens / PREALLOCATION_DIVISOR, freeTokens)
        // Callers state the numbers, whose product may overflow.
        return tokens.coerceAtLeast(0)
    }

    /** Reads the row and what the turns of other gateways in it have spent; returns the failure, or null on success. */
    private suspend fun readSettled(
        request: TurnTokens,
        budget: ProgramBudget,
    ): ChangeFailure.Failed? {
        rows.read(request.key, budget)?.let { return it }
        val pending = budget.otherClaims.flatMap { it.pending }.map { it.turn }
        val spent = pending.mapNotNull { turn -> storedTurns.read(turn, request.key.account)?.let { turn to it } }
        budget.settle(spent.toMap())
        return null
    }

    /** Writes [claim], and returns the failure, or null on success. After a conflict the current row has been applied. */
    private suspend fun write(
        key: BudgetKey,
        budget: ProgramBudget,
        claim: BudgetClaim,
    ): ChangeFailure? {
        budget.isWriteUncertain = true
        return rows.write(key, budget, claim)
    }

    private companion object {
        private const val INITIAL_PROGRAMS = 64
        private const val LOAD_FACTOR = 0.75f
        private const val MAX_PROGRAMS = 20_000

        /** Further programs that are kept while their claims cannot be written. */
        private const val MAX_UNSETTLED_PROGRAMS = 1_000
        private const val MAX_ATTEMPTS = 8

        /** A claim exceeds the current need, which the caller states, by at most the budget divided by this number. */
        private const val PREALLOCATION_DIVISOR = 3L

        /** A claim exceeds the current need by at most this number of turns, which a store outage does not stop. */
        private const val MAX_TURNS_AHEAD = 2

        private const val CONCURRENT_SETTLEMENTS = 32
        private const val SETTLE_TRIES = 5
        private val SETTLE_RETRY_DELAY = 1_000.milliseconds
    }
}
