package org.chestnutloom.edge.turn

import org.chestnutloom.id.ClientAccountId

/** Estimates the size of a turn that has not been read by those of its account that were. */
internal class TurnSizes {
    private val bytesByAccount = HashMap<ClientAccountId?, Int>()

    /** Returns the expected size of a turn of [account] in bytes. */
    fun expectedBytes(account: ClientAccountId?): Int = bytesByAccount[account] ?: ASSUMED_BYTES

    /** Records that a turn of [account] has [bytes]. A large one counts for a while, as others like it may follow. */
    fun record(
        account: ClientAccountId?,
        bytes: Int,
    ) {
        val earlier = bytesByAccount[account] ?: 0
        bytesByAccount[account] = maxOf(bytes, earlier - earlier / DECAY_DIVISOR)
    }

    private companion object {
        /** Far above the size of most turns, for accounts of which none was read. */
        const val ASSUMED_BYTES = 512 * 1024
        const val DECAY_DIVISOR = 8
    }
}
