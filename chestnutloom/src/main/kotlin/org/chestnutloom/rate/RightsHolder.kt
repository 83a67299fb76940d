package org.chestnutloom.rate

import kotlinx.serialization.Serializable
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation

/** A holder of rate rights: one lease incarnation of a gateway. */
@Serializable
public data class RightsHolder(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
)
