package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId

/**
 * A request for tokens of a program's budget for one turn.
 *
 * @property budgetTokens the total budget of the program
 * @property maxTokens the maximum number of tokens that the turn generates
 */
internal class TurnTokens(
    val program: ProgramId,
    val budgetTokens: Long,
    val maxTokens: Long,
    val turn: CallId,
    val account: ClientAccountId?,
)
