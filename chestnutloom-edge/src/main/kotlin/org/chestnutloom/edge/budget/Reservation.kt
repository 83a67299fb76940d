package org.chestnutloom.edge.budget

/**
 * Tokens reserved for one turn.
 *
 * @property startsProgram whether this is the first turn of the program, according to its row as last read
 */
public class Reservation internal constructor(
    private val budget: ProgramBudget,
    private val maxTokens: Long,
    public val startsProgram: Boolean,
) {
    private var isCompleted = false

    /** Ends the reservation, and records the [usedTokens] that the turn generated. */
    public fun complete(usedTokens: Long) {
        if (isCompleted) return
        isCompleted = true
        budget.reservedTokens -= maxTokens
        budget.spentTokens += usedTokens
    }
}
