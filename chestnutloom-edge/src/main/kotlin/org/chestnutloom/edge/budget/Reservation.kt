package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId

/**
 * Tokens reserved for one turn.
 *
 * @param turn the call id of the turn
 * @param maxTokens the maximum number of tokens that the turn generates
 * @param isStored whether the turn is stored before its response ends, so that others can read what it spent
 * @property startsProgram whether this is the first turn of the program, according to its row as last read
 */
public class Reservation internal constructor(
    internal val turn: CallId,
    internal val maxTokens: Long,
    internal val isStored: Boolean,
    private val onCompleted: (reservation: Reservation, usedTokens: Long, isWhole: Boolean) -> Unit,
) {
    public var startsProgram: Boolean = false
        internal set

    internal var isCompleted = false
        private set

    /**
     * Ends the reservation, and records the [usedTokens] that the turn generated.
     *
     * @param isWhole whether the response was whole, so that the turn is stored on routes that retain turns
     */
    public fun complete(
        usedTokens: Long,
        isWhole: Boolean = false,
    ) {
        if (isCompleted) return
        isCompleted = true
        onCompleted(this, usedTokens, isWhole)
    }
}
