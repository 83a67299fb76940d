package org.chestnutloom.edge.config

import kotlin.time.Duration

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
)
