package org.chestnutloom.program

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.ProgramId

private const val MAX_OPEN_CHILDREN = 256

/** Decides what a request to run turn [turnNumber] with the body [bodyHash] leads to. */
public fun ProgramRecord.decideTurn(
    turnNumber: Int,
    bodyHash: String,
): TurnDecision {
    val running = openTurn
    return when {
        turnNumber <= lastTurn -> TurnDecision.Recorded
        running != null && running.turnNumber == turnNumber -> attachDecision(running, bodyHash)
        state != ProgramState.OPEN -> TurnDecision.Refuse(endedRefusal())
        turnNumber > lastTurn + 1 || running != null -> TurnDecision.Early
        else -> TurnDecision.Start
    }
}

/** Reserves what [intent] may cost and notes it as the turn under way, or refuses with `budget_exhausted`. */
public fun ProgramRecord.beginTurn(
    intent: TurnIntent,
    nowMs: Long,
): Either<Refusal, ProgramRecord> =
    when {
        nowMs >= deadlineMs -> exhausted("the program's wall time is over").left()
        !available.covers(intent.reserved) -> exhausted("the program's budget does not cover the call").left()
        else -> copy(openTurn = intent, lastActiveAtMs = nowMs).right()
    }

/** Ends the turn under way with its actual cost. */
public fun ProgramRecord.completeTurn(
    actual: Cost,
    nowMs: Long,
): ProgramRecord {
    val turnNumber = openTurn?.turnNumber ?: return this
    val settled = copy(openTurn = null, lastTurn = turnNumber, spent = spent + actual, lastActiveAtMs = nowMs)
    return settled.markExhaustedIfSpent()
}

/** Ends the turn under way with an unknown outcome, whose reservation is kept for good. */
public fun ProgramRecord.completeTurnAsUnknown(nowMs: Long): ProgramRecord {
    val intent = openTurn ?: return this
    val kept = held + intent.reserved
    return copy(openTurn = null, lastTurn = intent.turnNumber, held = kept, lastActiveAtMs = nowMs)
}

/** Returns the reservation of the turn under way, which did not run or may run again. */
public fun ProgramRecord.abortTurn(): ProgramRecord = copy(openTurn = null)

/** Moves [budget] to a new sub-agent [child], or refuses when this program cannot spare it. */
public fun ProgramRecord.grantBudget(
    child: ProgramId,
    budget: Budget,
    nowMs: Long,
): Either<Refusal, ProgramRecord> {
    val cost = Cost(budget.tokens, budget.calls)
    return when {
        state != ProgramState.OPEN -> endedRefusal().left()
        nowMs >= deadlineMs -> exhausted("the parent's wall time is over").left()
        !available.covers(cost) -> exhausted("the parent's budget does not cover the sub-agent").left()
        granted.size >= MAX_OPEN_CHILDREN -> tooManyChildren().left()
        else -> copy(granted = granted + (child to cost), lastActiveAtMs = nowMs).right()
    }
}

/** Takes back from the ended sub-agent [child] what it did not use. */
public fun ProgramRecord.reclaimBudget(child: ProgramRecord): ProgramRecord {
    if (child.id !in granted) return this
    return copy(granted = granted - child.id, spent = spent + child.spent, held = held + child.held)
}

/** Ends the program in [state]; a program that has ended already keeps its state. */
public fun ProgramRecord.end(
    state: ProgramState,
    nowMs: Long,
): ProgramRecord = if (this.state == ProgramState.OPEN) copy(state = state, lastActiveAtMs = nowMs) else this

/** Tells whether nothing of the program is under way any more and its parent can take back the rest. */
public fun ProgramRecord.isSettled(): Boolean = state != ProgramState.OPEN && openTurn == null && granted.isEmpty()

/** Returns this program in state EXHAUSTED when no further call can fit its budget. */
public fun ProgramRecord.markExhaustedIfSpent(): ProgramRecord {
    val isSpent = spent.calls + held.calls >= budget.calls || spent.tokens + held.tokens >= budget.tokens
    return if (isSpent && state == ProgramState.OPEN) copy(state = ProgramState.EXHAUSTED) else this
}

private fun attachDecision(
    running: TurnIntent,
    bodyHash: String,
): TurnDecision {
    if (running.bodyHash == bodyHash) return TurnDecision.Attach
    return TurnDecision.Refuse(turnMismatchRefusal(running.turnNumber))
}

/** Returns the refusal of a repeat of turn [turnNumber] that has another body. */
public fun turnMismatchRefusal(turnNumber: Int): Refusal =
    Refusal(RefusalCode.TURN_MISMATCH, Execution.NOT_RUN, "turn $turnNumber came before with another body")

/** Returns the refusal of further turns of a program that has ended. */
public fun ProgramRecord.endedRefusal(): Refusal {
    if (state == ProgramState.EXHAUSTED) return exhausted("the program's budget is used up")
    return Refusal(RefusalCode.PROGRAM_ENDED, Execution.NOT_RUN, "the program is ${state.name.lowercase()}")
}

private fun exhausted(detail: String): Refusal = Refusal(RefusalCode.BUDGET_EXHAUSTED, Execution.NOT_RUN, detail)

private fun tooManyChildren(): Refusal =
    Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "the program has $MAX_OPEN_CHILDREN open sub-agents")
