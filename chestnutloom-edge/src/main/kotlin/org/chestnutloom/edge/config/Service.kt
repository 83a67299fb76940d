package org.chestnutloom.edge.config

/**
 * A group of targets that do the same work.
 *
 * @property maxConnections connections that one target accepts from all callers together
 * @property engine what the targets' engines share out, or null when the targets are plain services
 */
public data class Service(
    public val name: String,
    public val maxConnections: Int,
    public val engine: EngineLimits?,
)
