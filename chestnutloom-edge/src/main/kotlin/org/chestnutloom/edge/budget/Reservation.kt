package org.chestnutloom.edge.budget

/**
 * The right of one turn to generate tokens.
 *
 * @property startsProgram whether the program had no turn before, as far as its row tells
 */
public class Reservation internal constructor(
    private val budget: ProgramBudget,
    private val mostTokens: Long,
    public val startsProgram: Boolean,
) {
    private var isSettled = false

    /** Ends the reservation of a turn that generated [usedTokens]. */
    public fun settle(usedTokens: Long) {
        if (isSettled) return
        isSettled = true
        budget.reservedTokens -= mostTokens
        budget.settledTokens += usedTokens
    }
}
