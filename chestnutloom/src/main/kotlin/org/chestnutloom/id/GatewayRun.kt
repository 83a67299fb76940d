package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** One run of a gateway process. */
@Serializable
public data class GatewayRun(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
)
