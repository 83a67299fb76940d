package org.chestnutloom.rate

/**
 * The rate limit of a client account across the whole fleet.
 *
 * @property ratePerSecond requests per second
 * @property burst maximum number of requests at once
 */
public data class RateLimit(
    public val ratePerSecond: Double,
    public val burst: Int,
)
