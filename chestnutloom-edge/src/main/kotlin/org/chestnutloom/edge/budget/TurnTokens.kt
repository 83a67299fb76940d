package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId

/**
 * A request for tokens of a program's budget for one turn.
 *
 * @property budgetTokens the total budget of the program
 * @property maxTokens the maximum number of tokens that the turn generates
 * @property isStored whether the turn is stored before its response ends
 */
public class TurnTokens(
    public val program: ProgramId,
    public val account: ClientAccountId?,
    public val turn: CallId,
    public val budgetTokens: Long,
    public val maxTokens: Long,
    public val isStored: Boolean,
)
