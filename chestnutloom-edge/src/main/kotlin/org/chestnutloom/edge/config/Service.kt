package org.chestnutloom.edge.config

/**
 * A group of interchangeable targets.
 *
 * @property maxConnections the number of connections that one target accepts from all its clients together
 * @property engine the capacity of the targets' engines, or null when the targets have no engine
 * @property coldRequestsPerSecond the rate that a cold target accepts from all gateways together, or null without a limit
 * @property healthPath the path of requests for the health of a target, or null if there is none
 */
public data class Service(
    public val name: String,
    public val maxConnections: Int,
    public val engine: EngineLimits?,
    public val coldRequestsPerSecond: Double? = null,
    public val healthPath: String? = null,
)
