package org.chestnutloom.edge.budget

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

    /** Returns whether the gateway that holds [claim] is known to be registered, so that it may still spend its claim. */
    public fun isRegistered(claim: BudgetClaim): Boolean = false
}
