package org.chestnutloom.edge.budget

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowCondition
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.store.storeUnavailable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId

private val logger = KotlinLogging.logger {}

/**
 * Keeps programs within their token budgets over all gateways, restarts and outages; used on the event loop only.
 *
 * A gateway claims a part of the budget in the program's row, under the condition that the row has not changed, and
 * spends only what it claimed. The first claim is larger than one turn, so that most turns need no call to the store
 * and go on while the store is away. What a lost gateway had claimed counts as spent.
 */
public class BudgetAllocator(
    private val store: RowStore,
    private val peers: BudgetPeers,
    private val gateway: GatewayId,
    private val incarnation: Incarnation,
) {
    private val codec = CborCodec(BudgetRow.serializer())
    private val budgets = LinkedHashMap<ProgramId, ProgramBudget>(INITIAL_PROGRAMS, LOAD_FACTOR, true)

    /** Reserves [mostTokens] of the [budgetTokens] that [program] has in all, or refuses the turn as not run. */
    public suspend fun reserve(
        program: ProgramId,
        budgetTokens: Long,
        mostTokens: Long,
    ): Either<Refusal, Reservation> {
        val budget = budgetOf(program)
        if (budget.neededFor(mostTokens) > budget.claimedTokens) {
            budget.claiming
                .withLock { claim(program, budget, budgetTokens, mostTokens) }
                .onLeft { return it.left() }
        }
        val startsProgram = budget.isUntouched
        budget.reservedTokens += mostTokens
        return Reservation(budget, mostTokens, startsProgram).right()
    }

    /** Gives back what was claimed of the budget of [program] and is not needed by turns under way. */
    public suspend fun trim(program: ProgramId) {
        val budget = budgets[program] ?: return
        budget.claiming.withLock {
            repeat(MAX_TRIES) {
                val needed = budget.neededFor(mostTokens = 0)
                if (needed >= budget.claimedTokens) return
                // Lowered first, so that no turn starts on what is being given back.
                budget.claimedTokens = needed
                val failure = write(program, budget, needed)
                if (failure is ChangeFailure.Conflict) adopt(program, budget, failure.current)
                if (failure is ChangeFailure.Failed) return notTrimmed(program, failure)
            }
        }
    }

    /** Gives back what was claimed and is not needed, of as many programs as the store takes until cancelled. */
    public suspend fun trimAll() {
        budgets.keys
            .toList()
            .asReversed()
            .forEach { trim(it) }
    }

    private fun budgetOf(program: ProgramId): ProgramBudget {
        val budget = budgets.getOrPut(program) { ProgramBudget() }
        if (budgets.size > MAX_PROGRAMS) dropOldestIdle()
        return budget
    }

    private fun dropOldestIdle() {
        val oldest = budgets.entries.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next()
            if (entry.value.reservedTokens > 0 || entry.value.claiming.isLocked) continue
            oldest.remove()
            return
        }
    }

    private suspend fun claim(
        program: ProgramId,
        budget: ProgramBudget,
        budgetTokens: Long,
        mostTokens: Long,
    ): Either<Refusal, Unit> {
        var isTrimmed: Boolean? = null
        repeat(MAX_TRIES) {
            val needed = budget.neededFor(mostTokens)
            if (needed <= budget.claimedTokens) return Unit.right()
            val free = budgetTokens - budget.otherClaims.sumOf { it.tokens }
            if (needed > free && isTrimmed == true) return exhausted(program, needed, free).left()
            if (needed > free && isTrimmed == false) return contended().left()
            val failure =
                if (needed > free) {
                    isTrimmed = peers.trim(program, budget.otherClaims)
                    read(program, budget)
                } else {
                    write(program, budget, sized(needed, free, budgetTokens))
                }
            if (failure is ChangeFailure.Failed) return claimFailed(program, failure).left()
            if (failure is ChangeFailure.Conflict) adopt(program, budget, failure.current)
        }
        return contended().left()
    }

    private fun sized(
        neededTokens: Long,
        freeTokens: Long,
        budgetTokens: Long,
    ): Long = minOf(freeTokens, neededTokens + budgetTokens / AHEAD_DIVISOR)

    /** Reads the row, and returns why that failed, or null. */
    private suspend fun read(
        program: ProgramId,
        budget: ProgramBudget,
    ): ChangeFailure? {
        val snapshot = store.read(TABLE, program.value).getOrElse { return ChangeFailure.Failed(it) }
        adopt(program, budget, snapshot.rows)
        return null
    }

    /** Writes the claim, and returns why that failed, or null. */
    private suspend fun write(
        program: ProgramId,
        budget: ProgramBudget,
        tokens: Long,
    ): ChangeFailure? {
        val key = keyOf(program)
        budget.hasClaimed = true
        val row = BudgetRow(budget.otherClaims + BudgetClaim(gateway, incarnation, tokens))
        val change =
            RowChange(
                conditions = listOf(RowCondition(key, budget.rowVersion)),
                puts = listOf(RowPut(key, codec.encode(row))),
            )
        val version = store.change(change).getOrElse { return it }
        budget.rowVersion = version
        budget.claimedTokens = tokens
        return null
    }

    private fun adopt(
        program: ProgramId,
        budget: ProgramBudget,
        current: List<StoredRow>,
    ) {
        val row = current.firstOrNull { it.key == keyOf(program) }
        val value = row?.value ?: return budget.adopt(emptyList(), version = 0)
        val claims =
            codec
                .decode(value)
                .onLeft { logger.warnEvent("budget_malformed", "program" to program, "detail" to it.detail) }
                .map { it.claims }
                .getOrElse { emptyList() }
        val (own, others) = claims.partition { it.gateway == gateway && it.incarnation == incarnation }
        budget.adopt(others, row.version)
        budget.adoptOwn(own.sumOf { it.tokens })
    }

    private fun exhausted(
        program: ProgramId,
        neededTokens: Long,
        freeTokens: Long,
    ): Refusal {
        logger.event("budget_exhausted", "program" to program, "needed" to neededTokens, "free" to freeTokens)
        return Refusal(RefusalCode.BUDGET_EXHAUSTED, Execution.NOT_RUN, "the program's budget is spent")
    }

    private fun claimFailed(
        program: ProgramId,
        failure: ChangeFailure.Failed,
    ): Refusal {
        logger.warnEvent("budget_claim_failed", "program" to program, "cause" to failure.cause)
        return storeUnavailable("the budget cannot be reserved now")
    }

    private fun notTrimmed(
        program: ProgramId,
        failure: ChangeFailure.Failed,
    ) {
        logger.warnEvent("budget_trim_failed", "program" to program, "cause" to failure.cause)
    }

    private fun contended(): Refusal = storeUnavailable("the budget is being reserved elsewhere")

    private fun keyOf(program: ProgramId): RowKey = RowKey(TABLE, program.value, ROW)

    private companion object {
        private const val TABLE = "programs"
        private const val ROW = "budget"
        private const val INITIAL_PROGRAMS = 64
        private const val LOAD_FACTOR = 0.75f
        private const val MAX_PROGRAMS = 20_000
        private const val MAX_TRIES = 4

        /** A claim goes beyond what is needed by this part of the budget. */
        private const val AHEAD_DIVISOR = 3L
    }
}
