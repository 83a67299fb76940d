package org.chestnutloom.edge.config

/**
 * A service that a route sends requests to.
 *
 * @property weight the service's part of the route's requests, relative to the route's other destinations
 */
public data class Destination(
    public val service: String,
    public val weight: Int,
)
