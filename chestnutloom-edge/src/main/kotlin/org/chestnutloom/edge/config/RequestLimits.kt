package org.chestnutloom.edge.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on callers' requests and connections.
 *
 * @property headerTimeout maximum time to receive the headers of a request
 * @property idleTimeout maximum time that a connection may stay open without a request
 */
public data class RequestLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
) {
    internal companion object {
        /** Apply until the first configuration is read. */
        val INITIAL =
            RequestLimits(
                maxHeaderBytes = 16_384,
                maxBodyBytes = 4 * 1024 * 1024,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds,
            )
    }
}
