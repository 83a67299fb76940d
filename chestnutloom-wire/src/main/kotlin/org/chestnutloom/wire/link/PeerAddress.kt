package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/** Where a process takes links: an IP number and a TCP port. */
@Serializable
public data class PeerAddress(
    public val host: String,
    public val port: Int,
)
