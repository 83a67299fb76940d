package org.chestnutloom.config

/**
 * A route that needs no access key.
 *
 * @property path the path on the gateway, below `/open`
 * @property service the service that handles the requests
 */
public data class OpenRoute(
    public val path: String,
    public val method: String,
    public val service: String,
)
