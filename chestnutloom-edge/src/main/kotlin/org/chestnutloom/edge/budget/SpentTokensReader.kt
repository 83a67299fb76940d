package org.chestnutloom.edge.budget

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId

/** Tells what turns have spent that are stored with their responses. */
public fun interface SpentTokensReader {
    /**
     * Returns the number of tokens that [turn] of [account] generated, or null if no such turn is stored, or if it cannot be
     * read at the moment.
     */
    public suspend fun read(
        turn: CallId,
        account: ClientAccountId?,
    ): Long?
}
