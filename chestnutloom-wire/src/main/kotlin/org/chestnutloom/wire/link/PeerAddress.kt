package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/** The IP address and TCP port on which a process accepts links. */
@Serializable
public data class PeerAddress(
    public val host: String,
    public val port: Int,
)
