package org.chestnutloom.program

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId

/**
 * The whole state of one program, without its finished turns.
 *
 * @property openedAtMs when the program was opened, in milliseconds since 1970 UTC
 * @property lastActiveAtMs when the last request for the program came, in milliseconds since 1970 UTC
 * @property spent what the ended calls of the program and of its ended sub-agents used
 * @property held reservations of calls whose outcome is unknown; they are never returned
 * @property granted what open sub-agents may still use
 * @property lastTurn the number of the last finished turn; 0 before the first
 * @property openTurn the turn under way, or null
 * @property servedBy the targets that ran calls of the program, the most recent one last
 * @property lastModelTarget the target that ran the last model call, or null
 * @property lastPromptTokens prompt and generated tokens of that call
 * @property serviceMs time that the program's calls ran at targets, in milliseconds
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
    /** The cost that is reserved for calls under way, unknown outcomes and open sub-agents. */
    public val reserved: Cost
        get() = granted.values.fold(held + (openTurn?.reserved ?: Cost()), Cost::plus)

    /** The cost that the program may still reserve. */
    public val available: Cost
        get() = Cost(budget.tokens, budget.calls) - spent - reserved

    /** When the program's wall time is over, in milliseconds since 1970 UTC. */
    public val deadlineMs: Long
        get() = openedAtMs + budget.wallTimeMs
}
