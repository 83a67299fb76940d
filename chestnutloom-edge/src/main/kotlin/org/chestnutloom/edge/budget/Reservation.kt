package org.chestnutloom.edge.budget

/**
 * Tokens reserved for one turn.
 *
 * @property startsProgram whether this is the first turn of the program, as far as known from its row
 */
public class Reservation internal constructor(
    private val budget: ProgramBudget,
    private val maxTokens: Long,
    public val startsProgram: Boolean,
) {
    private var isSettled = false

    /** Ends the reservation, and records the [usedTokens] that the turn generated. */
    public fun settle(usedTokens: Long) {
        if (isSettled) return
        isSettled = true
        budget.reservedTokens -= maxTokens
        budget.settledTokens += usedTokens
    }
}
