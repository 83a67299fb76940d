package org.chestnutloom.edge.budget

import org.chestnutloom.id.ProgramId

/** The other gateways as holders of budget claims. */
public fun interface BudgetPeers {
    /**
     * Asks the gateways that hold [claims] to record what they have spent of the budget of [program].
     *
     * Returns whether every holder that may still be alive has done so.
     */
    public suspend fun settle(
        program: ProgramId,
        claims: List<BudgetClaim>,
    ): Boolean

    /** Returns whether the gateway that holds [claim] is known to be registered, so that it may still spend its claim. */
    public fun isRegistered(claim: BudgetClaim): Boolean = false
}
