package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable

/**
 * The stored claims of gateways on the budget of a program.
 *
 * @property overdraftHolder the incarnation that may run one turn at a time which no claim names yet, or null if none may;
 *   it keeps that right after a failure, since nothing tells whether it had used it
 */
@Serializable
public data class BudgetRow(
    public val claims: List<BudgetClaim>,
    public val overdraftHolder: BudgetHolder? = null,
)
