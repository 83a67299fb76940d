package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/** An incarnation of a gateway. */
@Serializable
public data class BudgetHolder(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
)
