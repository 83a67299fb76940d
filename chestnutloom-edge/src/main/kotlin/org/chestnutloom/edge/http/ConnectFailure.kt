package org.chestnutloom.edge.http

import org.chestnutloom.wire.link.PeerAddress

/**
 * A connection could not be established, so no request was sent.
 *
 * @property wasRefused whether the VM refused the connection because no process listens on the port
 */
public data class ConnectFailure(
    public val address: PeerAddress,
    public val detail: String,
    public val wasRefused: Boolean,
)
