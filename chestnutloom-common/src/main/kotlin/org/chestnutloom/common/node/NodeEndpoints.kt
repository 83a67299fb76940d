package org.chestnutloom.common.node

/**
 * The ports that a node listens on.
 *
 * @property httpPort the port for callers, or null when the node has none
 * @property linkPort the port for other chestnutloom processes
 */
public data class NodeEndpoints(
    public val httpPort: Int?,
    public val linkPort: Int,
)
