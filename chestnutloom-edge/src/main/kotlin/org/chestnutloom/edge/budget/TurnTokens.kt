package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId

/**
 * A request for tokens of a program's budget for one turn.
 *
 * @property budgetTokens the total budget of the program
 * @property maxTokens the maximum number of tokens that the turn generates
 * @property isStored whether the turn is stored before its response ends
 */
public class TurnTokens(
    public val key: BudgetKey,
    public val turn: CallId,
    public val budgetTokens: Long,
    public val maxTokens: Long,
    public val isStored: Boolean,
)
