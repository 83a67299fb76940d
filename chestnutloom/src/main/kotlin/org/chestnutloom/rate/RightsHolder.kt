package org.chestnutloom.rate

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/** One lease incarnation of one gateway, as a holder of rate rights. */
@Serializable
public data class RightsHolder(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
)
