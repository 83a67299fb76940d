package org.chestnutloom.edge.config

/**
 * A service to which a route sends requests.
 *
 * @property weight the share of the route's requests, relative to the weights of its other destinations
 */
public data class Destination(
    public val service: String,
    public val weight: Int,
)
