package org.chestnutloom.edge.budget

import kotlin.time.Duration

/** The other gateways as holders of budget claims. */
public fun interface BudgetPeers {
    /**
     * Asks the gateways that hold [claims] to record what they have spent of the budget [key].
     *
     * Returns whether every holder that may still be alive has done so.
     */
    public suspend fun settle(
        key: BudgetKey,
        claims: List<BudgetClaim>,
    ): Boolean

    /**
     * Returns for how long the incarnation that holds [claim] is known not to be registered any more, or null if it is
     * registered.
     */
    public fun goneFor(claim: BudgetClaim): Duration? = Duration.ZERO
}
