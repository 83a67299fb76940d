package org.chestnutloom.program

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.ProgramId

private const val MAX_OPEN_SUB_AGENTS = 256

/** Decides how to handle a request to run turn [turnNumber] with a body whose hash is [bodyHash]. */
public fun ProgramRecord.decideTurn(
    turnNumber: Int,
    bodyHash: String,
): TurnDecision {
    val open = openTurn
    return when {
        turnNumber <= lastTurn -> TurnDecision.Recorded
        open != null && open.turnNumber == turnNumber -> attachDecision(open, bodyHash)
        state != ProgramState.OPEN -> TurnDecision.Refuse(endedRefusal())
        turnNumber > lastTurn + 1 || open != null -> TurnDecision.Early
        else -> TurnDecision.Start
    }
}

/** Reserves the maximum cost of [intent] and makes it the open turn, or refuses with `budget_exhausted`. */
public fun ProgramRecord.beginTurn(
    intent: TurnIntent,
    nowMs: Long,
): Either<Refusal, ProgramRecord> =
    when {
        nowMs >= deadlineMs -> budgetExhausted("The program's wall time is used up.").left()
        !available.covers(intent.reserved) -> budgetExhausted("The program's budget does not cover the call.").left()
        else -> copy(openTurn = intent, lastActiveAtMs = nowMs).right()
    }

/** Completes the open turn and charges its [actual] cost. */
public fun ProgramRecord.completeTurn(
    actual: Cost,
    nowMs: Long,
): ProgramRecord {
    val turnNumber = openTurn?.turnNumber ?: return this
    val completed = copy(openTurn = null, lastTurn = turnNumber, spent = spent + actual, lastActiveAtMs = nowMs)
    return completed.markExhaustedIfSpent()
}

/** Completes the open turn with an unknown outcome, and holds its reservation permanently. */
public fun ProgramRecord.completeTurnAsUnknown(nowMs: Long): ProgramRecord {
    val intent = openTurn ?: return this
    val newHeld = held + intent.reserved
    return copy(openTurn = null, lastTurn = intent.turnNumber, held = newHeld, lastActiveAtMs = nowMs)
}

/** Aborts the open turn, which did not run or may be retried, and releases its reservation. */
public fun ProgramRecord.abortTurn(): ProgramRecord = copy(openTurn = null)

/** Grants [budget] to the new sub-agent [child], or refuses if the available budget does not cover it. */
public fun ProgramRecord.grantBudget(
    child: ProgramId,
    budget: Budget,
    nowMs: Long,
): Either<Refusal, ProgramRecord> {
    val cost = Cost(budget.tokens, budget.calls)
    return when {
        state != ProgramState.OPEN -> endedRefusal().left()
        nowMs >= deadlineMs -> budgetExhausted("The parent's wall time is used up.").left()
        !available.covers(cost) -> budgetExhausted("The parent's budget does not cover the sub-agent.").left()
        granted.size >= MAX_OPEN_SUB_AGENTS -> tooManySubAgents().left()
        else -> copy(granted = granted + (child to cost), lastActiveAtMs = nowMs).right()
    }
}

/** Reclaims the unused budget of the ended sub-agent [child]. */
public fun ProgramRecord.reclaimBudget(child: ProgramRecord): ProgramRecord {
    if (child.id !in granted) return this
    return copy(granted = granted - child.id, spent = spent + child.spent, held = held + child.held)
}

/** Ends the program in [state]; a program that has already ended keeps its state. */
public fun ProgramRecord.end(
    state: ProgramState,
    nowMs: Long,
): ProgramRecord = if (this.state == ProgramState.OPEN) copy(state = state, lastActiveAtMs = nowMs) else this

/** Returns whether the program has ended without open turns or sub-agents, so its parent can reclaim its budget. */
public fun ProgramRecord.hasFullyEnded(): Boolean = state != ProgramState.OPEN && openTurn == null && granted.isEmpty()

/** Returns this program in state EXHAUSTED if its budget covers no further call. */
public fun ProgramRecord.markExhaustedIfSpent(): ProgramRecord {
    val isSpent = spent.calls + held.calls >= budget.calls || spent.tokens + held.tokens >= budget.tokens
    return if (isSpent && state == ProgramState.OPEN) copy(state = ProgramState.EXHAUSTED) else this
}

private fun attachDecision(
    open: TurnIntent,
    bodyHash: String,
): TurnDecision {
    if (open.bodyHash == bodyHash) return TurnDecision.Attach
    return TurnDecision.Refuse(turnMismatchRefusal(open.turnNumber))
}

/** Returns the refusal of a retry of turn [turnNumber] whose body differs from the first request. */
public fun turnMismatchRefusal(turnNumber: Int): Refusal =
    Refusal(RefusalCode.TURN_MISMATCH, Execution.NOT_RUN, "Turn $turnNumber was sent before with a different body.")

/** Returns the refusal of a new turn of a program that has ended. */
public fun ProgramRecord.endedRefusal(): Refusal {
    if (state == ProgramState.EXHAUSTED) return budgetExhausted("The program's budget is used up.")
    return Refusal(RefusalCode.PROGRAM_ENDED, Execution.NOT_RUN, "The program is ${state.name.lowercase()}.")
}

private fun budgetExhausted(detail: String): Refusal = Refusal(RefusalCode.BUDGET_EXHAUSTED, Execution.NOT_RUN, detail)

private fun tooManySubAgents(): Refusal =
    Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "The program already has $MAX_OPEN_SUB_AGENTS open sub-agents.")
