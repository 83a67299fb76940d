package org.chestnutloom.program

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId

/**
 * The state of one program, without its completed turns.
 *
 * @property openedAtMs when the program was opened, in milliseconds since the Unix epoch
 * @property lastActiveAtMs when the last request for the program arrived, in milliseconds since the Unix epoch
 * @property spent cost of the ended calls of the program and of its ended sub-agents
 * @property held reservations of calls with an unknown outcome, which are never released
 * @property granted budget granted to each open sub-agent
 * @property lastTurn the number of the last completed turn, or 0 if there is none
 * @property openTurn the turn in progress, or null
 * @property servedBy the targets that ran calls of the program, most recent last
 * @property lastModelTarget the target that ran the last model call, or null
 * @property lastPromptTokens prompt and completion tokens of that call
 * @property serviceMs total time that the program's calls ran at targets, in milliseconds
 */
@Serializable
public data class ProgramRecord(
    public val id: ProgramId,
    public val account: ClientAccountId,
    public val budget: Budget,
    public val openedAtMs: Long,
    public val lastActiveAtMs: Long,
    public val state: ProgramState = ProgramState.OPEN,
    public val spent: Cost = Cost(),
    public val held: Cost = Cost(),
    public val granted: Map<ProgramId, Cost> = emptyMap(),
    public val lastTurn: Int = 0,
    public val openTurn: TurnIntent? = null,
    public val servedBy: List<TargetId> = emptyList(),
    public val lastModelTarget: TargetId? = null,
    public val lastPromptTokens: Long = 0,
    public val serviceMs: Long = 0,
) {
    /** The cost reserved for the open turn, calls with an unknown outcome, and open sub-agents. */
    public val reserved: Cost
        get() = granted.values.fold(held + (openTurn?.reserved ?: Cost()), Cost::plus)

    /** The cost that can still be reserved. */
    public val available: Cost
        get() = Cost(budget.tokens, budget.calls) - spent - reserved

    /** When the program's wall time ends, in milliseconds since the Unix epoch. */
    public val deadlineMs: Long
        get() = openedAtMs + budget.wallTimeMs
}
