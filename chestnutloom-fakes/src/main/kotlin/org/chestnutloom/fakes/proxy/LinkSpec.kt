package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/**
 * A listener of a proxy and the address that it forwards to.
 *
 * @property listenPort the port to listen on; 0 selects a free port
 */
@Serializable
public data class LinkSpec(
    public val name: String,
    public val listenPort: Int = 0,
    public val targetHost: String,
    public val targetPort: Int,
)
