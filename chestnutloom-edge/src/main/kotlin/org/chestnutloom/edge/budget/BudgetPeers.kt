package org.chestnutloom.edge.budget

import org.chestnutloom.id.ProgramId

/** The other gateways, as far as budgets are concerned. */
public fun interface BudgetPeers {
    /**
     * Asks the gateways that hold [claims] to give back what they do not need of the budget of [program].
     *
     * Returns whether every holder that may still live has done so.
     */
    public suspend fun trim(
        program: ProgramId,
        claims: List<BudgetClaim>,
    ): Boolean
}
