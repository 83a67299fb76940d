package org.chestnutloom.edge.http

import org.chestnutloom.wire.link.PeerAddress

/**
 * A connection could not be opened, so nothing was sent.
 *
 * @property wasRefused whether the VM answered that nobody listens there
 */
public data class ConnectFailure(
    public val address: PeerAddress,
    public val detail: String,
    public val wasRefused: Boolean,
)
