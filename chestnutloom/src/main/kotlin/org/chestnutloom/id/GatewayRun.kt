package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** One incarnation of an edge gateway. */
@Serializable
public data class GatewayRun(
    public val gateway: GatewayId,
    public val incarnation: Incarnation,
)
