package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable

/** A program's budget as the store holds it: who may spend how much of it. */
@Serializable
public data class BudgetRow(
    public val claims: List<BudgetClaim>,
)
