package org.chestnutloom.edge.config

/**
 * A group of interchangeable targets.
 *
 * @property maxConnections the number of connections that one target accepts from all its clients together
 * @property engine the capacity of the targets' engines, or null when the targets have no engine
 */
public data class Service(
    public val name: String,
    public val maxConnections: Int,
    public val engine: EngineLimits?,
)
