package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId

/**
 * Tokens reserved for one turn.
 *
 * @param turn the call id of the turn
 * @param maxTokens the maximum number of tokens that the turn generates
 * @property startsProgram whether this is the first turn of the program, according to its row as last read
 */
public class Reservation internal constructor(
    internal val turn: CallId,
    internal val maxTokens: Long,
    private val onCompleted: (reservation: Reservation, usedTokens: Long, isStored: Boolean) -> Unit,
) {
    public var startsProgram: Boolean = false
        internal set

    /** Whether the turn may run. */
    internal var isStarted = false

    internal var isCompleted = false
        private set

    /**
     * Ends the reservation, and records the [usedTokens] that the turn generated.
     *
     * @param isStored whether the turn is stored with this number before its response ends
     */
    public fun complete(
        usedTokens: Long,
        isStored: Boolean = false,
    ) {
        if (isCompleted) return
        isCompleted = true
        onCompleted(this, usedTokens, isStored)
    }
}
