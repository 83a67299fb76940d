package org.chestnutloom.edge.budget

/** The right of one turn to generate tokens. */
public class Reservation internal constructor(
    private val budget: ProgramBudget,
    private val mostTokens: Long,
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
