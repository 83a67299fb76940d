package org.chestnutloom.common.node

/**
 * The ports that a node listens on.
 *
 * @property httpPort the port of the HTTP API, or null when the node does not serve one
 * @property linkPort the port for links from other chestnutloom processes
 */
public data class NodeEndpoints(
    public val httpPort: Int?,
    public val linkPort: Int,
)
