package org.chestnutloom.config

/**
 * A route that anyone may use without a key.
 *
 * @property path the path on the gateway, below `/open`
 * @property service the plain service that answers
 */
public data class OpenRoute(
    public val path: String,
    public val method: String,
    public val service: String,
)
