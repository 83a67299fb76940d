package org.chestnutloom.edge.budget

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/**
 * The part of a program's budget that one run of a gateway may spend.
 *
 * @property tokens everything that the gateway has spent and may still spend
 */
@Serializable
public data class BudgetClaim(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
    public val tokens: Long,
)
