package org.chestnutloom.edge.config

import kotlin.time.Duration

/**
 * What a caller may send.
 *
 * @property headerTimeout how long a caller may take to send a request's headers
 * @property idleTimeout how long a connection may stay open without a request
 */
public data class RequestLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
)
