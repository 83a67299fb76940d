package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable

/** The stored claims of gateways on the budget of a program. */
@Serializable
public data class BudgetRow(
    public val claims: List<BudgetClaim>,
)
