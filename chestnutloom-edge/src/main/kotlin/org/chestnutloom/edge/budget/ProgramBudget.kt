package org.chestnutloom.edge.budget

import kotlinx.coroutines.sync.Mutex

/** What this gateway knows of one program's budget; used on the event loop only. */
internal class ProgramBudget {
    /** Held while the claim in the store is being changed. */
    val claiming = Mutex()

    /** The claims of other runs of gateways, as last read. */
    var otherClaims: List<BudgetClaim> = emptyList()

    /** The version of the row as last read; 0 when there was none. */
    var rowVersion = 0L

    /** What this gateway may spend in all. */
    var claimedTokens = 0L

    /** What turns that ended have spent here. */
    var settledTokens = 0L

    /** The most that the turns under way here may spend. */
    var reservedTokens = 0L

    /** What a turn of [mostTokens] brings the spending here to, at most. */
    fun neededFor(mostTokens: Long): Long = settledTokens + reservedTokens + mostTokens

    /** Whether nothing was spent, and nobody may spend anything yet, as far as is known here. */
    val isUntouched: Boolean
        get() = settledTokens + reservedTokens == 0L && otherClaims.all { it.tokens == 0L }

    /** Whether a claim was written here, with or without an answer. */
    var hasClaimed = false

    /** Takes [others] as the claims of other runs of gateways, in a row of [version]. */
    fun adopt(
        others: List<BudgetClaim>,
        version: Long,
    ) {
        otherClaims = others
        rowVersion = version
    }

    /** Takes [tokens] as this gateway's claim in the row. */
    fun adoptOwn(tokens: Long) {
        // Of a claim made before this program was forgotten here, it is not known how much is left.
        if (!hasClaimed) settledTokens += tokens
        hasClaimed = true
        // A write without an answer may have taken effect.
        claimedTokens = maxOf(claimedTokens, tokens)
    }
}
