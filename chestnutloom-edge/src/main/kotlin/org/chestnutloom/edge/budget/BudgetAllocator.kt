package org.chestnutloom.edge.budget

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.storeUnavailable
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Enforces token budgets of programs across gateways, restarts and store outages; confined to the event loop.
 *
 * The program's row in the store names each turn in progress with the most that it may spend, so that the failure of a
 * gateway leaves only the turns unknown that it had not ended. What such a turn spent is read from the stored turn, if it
 * was answered whole; otherwise it counts at its most.
 *
 * One gateway of the fleet holds the overdraft of a program: while the store is slow or unavailable, it may run a single
 * turn that the row does not name yet. All turns together therefore exceed the budget by at most one turn.
 *
 * A turn is refused as over budget only if the tokens that are known to be spent leave no room for it; otherwise its caller
 * may try again.
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
    private val budgets = LinkedHashMap<ProgramId, ProgramBudget>(INITIAL_PROGRAMS, LOAD_FACTOR, true)

    /** Reserves [maxTokens] of the total [budgetTokens] of [program] for [turn], or refuses the turn as not run. */
    public suspend fun reserve(
        program: ProgramId,
        budgetTokens: Long,
        maxTokens: Long,
        turn: CallId,
        account: ClientAccountId? = null,
    ): Either<Refusal, Reservation> {
        val budget = budgetOf(program)
        val request = TurnTokens(program, budgetTokens, maxTokens, turn, account)
        val reservation =
            Reservation(turn, maxTokens) { ended, usedTokens, isStored ->
                val isUnwritten = budget.isOnOverdraft(ended)
                budget.end(ended, usedTokens)
                if (isUnwritten || !isStored) writeSoon(program, budget)
            }
        // Not cancelled when the caller leaves, so that the outcome of the write is known.
        val claim = scope.async { budget.claiming.withLock { claim(request, budget, reservation) } }
        try {
            val failure = awaitClaim(claim, request, budget) ?: return reservation.right()
            val canStart = failure.isStoreFailure && budget.allowsOverdraft(budgetTokens, maxTokens)
            if (!canStart) return failure.refusal.left()
            budget.startOnOverdraft(reservation)
            return reservation.right()
        } catch (e: CancellationException) {
            reservation.complete(usedTokens = 0)
            throw e
        }
    }

    /**
     * Returns why [claim] failed, or null on success.
     *
     * While the turn could start on the overdraft, a claim that takes long counts as failed, but goes on.
     */
    private suspend fun awaitClaim(
        claim: Deferred<ClaimFailure?>,
        request: TurnTokens,
        budget: ProgramBudget,
    ): ClaimFailure? {
        if (!budget.allowsOverdraft(request.budgetTokens, request.maxTokens)) return claim.await()
        withTimeoutOrNull(MAX_CLAIM_WAIT) { claim.join() }
        if (claim.isCompleted || !budget.allowsOverdraft(request.budgetTokens, request.maxTokens)) return claim.await()
        return ClaimFailure(storeUnavailable("The store is slow."), isStoreFailure = true)
    }

    /** Records what is spent of the budget of [program], and that its turns which have ended need no more. */
    public suspend fun settle(program: ProgramId) {
        val budget = budgets[program] ?: return
        settle(program, budget)
    }

    /** Returns whether the row contains the current claim. */
    private suspend fun settle(
        program: ProgramId,
        budget: ProgramBudget,
    ): Boolean =
        budget.claiming.withLock {
            repeat(MAX_ATTEMPTS) {
                if (!budget.isOutdated) return true
                val failure = write(program, budget, starting = null)
                if (failure is ChangeFailure.Failed) {
                    logger.warnEvent("budget_settle_failed", "program" to program, "cause" to failure.cause)
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
            coroutineScope { part.map { (program, budget) -> async { settle(program, budget) } }.awaitAll() }
        }
    }

    /** Writes the claim without letting a caller wait. */
    private fun writeSoon(
        program: ProgramId,
        budget: ProgramBudget,
    ) {
        if (budget.isSettling) return
        budget.isSettling = true
        scope.launch {
            try {
                repeat(SETTLE_TRIES) {
                    if (settle(program, budget)) return@launch
                    delay(SETTLE_RETRY_DELAY)
                }
            } finally {
                budget.isSettling = false
            }
        }
    }

    private fun budgetOf(program: ProgramId): ProgramBudget {
        val budget = budgets.getOrPut(program) { ProgramBudget(self) }
        if (budgets.size > maxPrograms) evictOldestIdle(except = budget)
        return budget
    }

    /** Forgets the budget that was not used for the longest time, unless the store does not know all of its turns. */
    private fun evictOldestIdle(except: ProgramBudget) {
        val oldest = budgets.values.iterator()
        while (oldest.hasNext()) {
            val budget = oldest.next()
            if (budget === except || budget.isBusy || budget.hasUnwrittenTurn) continue
            oldest.remove()
            return
        }
    }

    private suspend fun claim(
        request: TurnTokens,
        budget: ProgramBudget,
        reservation: Reservation,
    ): ClaimFailure? {
        var arePeersSettled: Boolean? = null
        repeat(MAX_ATTEMPTS) {
            // The turn has started on the overdraft meanwhile, or its caller has left.
            if (reservation.isStarted || reservation.isCompleted) return null
            val isShort = request.maxTokens > budget.freeTokens(request.budgetTokens)
            if (isShort && arePeersSettled == true) return ClaimFailure(noneLeft(request, budget))
            if (isShort && arePeersSettled == false) return ClaimFailure(contended())
            val failure =
                if (isShort) {
                    arePeersSettled = peers.settle(request.program, budget.otherClaims)
                    readSettled(request, budget)
                } else {
                    write(request.program, budget, reservation)
                }
            if (failure is ChangeFailure.Failed) {
                return ClaimFailure(claimFailed(request.program, failure), isStoreFailure = true)
            }
            if (failure == null && !isShort) return null.also { start(request.program, budget, reservation) }
        }
        return ClaimFailure(contended())
    }

    /** Starts [reservation], which has been claimed, unless its caller has left meanwhile. */
    private fun start(
        program: ProgramId,
        budget: ProgramBudget,
        reservation: Reservation,
    ) {
        if (reservation.isCompleted) writeSoon(program, budget) else budget.start(reservation)
    }

    /** Reads the row and what the turns of other gateways in it have spent; returns the failure, or null on success. */
    private suspend fun readSettled(
        request: TurnTokens,
        budget: ProgramBudget,
    ): ChangeFailure.Failed? {
        rows.read(request.program, budget)?.let { return it }
        val pending = budget.otherClaims.flatMap { it.pending }.map { it.turn }
        val spent = pending.mapNotNull { turn -> storedTurns.read(turn, request.account)?.let { turn to it } }
        budget.settle(spent.toMap())
        return null
    }

    /**
     * Writes the claim, which includes [starting] if it is given, and returns the failure, or null on success.
     *
     * After a conflict the current row has been applied. If the outcome is unknown, the claim is written again later.
     */
    private suspend fun write(
        program: ProgramId,
        budget: ProgramBudget,
        starting: Reservation?,
    ): ChangeFailure? {
        var failure: ChangeFailure? = null
        var isAnswered = false
        try {
            failure = rows.write(program, budget, starting)
            isAnswered = failure !is ChangeFailure.Failed
        } finally {
            if (!isAnswered) budget.isWriteUncertain = true
            if (!isAnswered && starting != null) writeSoon(program, budget)
        }
        return failure
    }

    /** Refuses a turn for which the claims of gateways leave no room. */
    private fun noneLeft(
        request: TurnTokens,
        budget: ProgramBudget,
    ): Refusal {
        val isExhausted = budget.isExhausted(request.budgetTokens, request.maxTokens, peers::isRegistered)
        logger.event(
            if (isExhausted) "budget_exhausted" else "budget_unsettled",
            "program" to request.program,
            "budget" to request.budgetTokens,
            "needed" to request.maxTokens,
            "claimed" to request.budgetTokens - budget.freeTokens(request.budgetTokens),
            "claimed_by_others" to budget.otherClaims.sumOf { it.tokens },
            "pending_at_others" to budget.otherClaims.flatMap { it.pending }.joinToString(" ") { it.turn.value },
        )
        if (!isExhausted) return unsettled()
        return Refusal(RefusalCode.BUDGET_EXHAUSTED, Execution.NOT_RUN, "The program's token budget is exhausted.")
    }

    private fun claimFailed(
        program: ProgramId,
        failure: ChangeFailure.Failed,
    ): Refusal {
        logger.warnEvent("budget_claim_failed", "program" to program, "cause" to failure.cause)
        return storeUnavailable("The budget cannot be reserved in the store.")
    }

    private fun contended(): Refusal =
        storeUnavailable("The budget is being reserved by another gateway.").copy(retryAfterMs = CONTENDED_RETRY_MS)

    /** Refuses a turn whose tokens may or may not have been spent by gateways that failed. */
    private fun unsettled(): Refusal =
        Refusal(
            RefusalCode.BUDGET_UNSETTLED,
            Execution.NOT_RUN,
            "The rest of the program's token budget is claimed by gateways that have failed.",
            CONTENDED_RETRY_MS,
        )

    /**
     * Why the tokens of a turn could not be claimed.
     *
     * @property isStoreFailure whether the store did not acknowledge the claim, so that the overdraft may serve
     */
    private class ClaimFailure(
        val refusal: Refusal,
        val isStoreFailure: Boolean = false,
    )

    private companion object {
        private const val INITIAL_PROGRAMS = 64
        private const val LOAD_FACTOR = 0.75f
        private const val MAX_PROGRAMS = 20_000
        private const val MAX_ATTEMPTS = 8

        /** Another gateway writes its claim within this time. */
        private const val CONTENDED_RETRY_MS = 500L

        /** Well above the normal latency of the store, and short for a caller who waits for a model's first token. */
        private val MAX_CLAIM_WAIT = 25.milliseconds

        private const val CONCURRENT_SETTLEMENTS = 32
        private const val SETTLE_TRIES = 10
        private val SETTLE_RETRY_DELAY = 1_000.milliseconds
    }
}
