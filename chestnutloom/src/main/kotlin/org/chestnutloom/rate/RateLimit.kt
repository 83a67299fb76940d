package org.chestnutloom.rate

/**
 * What a client account may send over the whole fleet.
 *
 * @property ratePerSecond requests a second
 * @property burst requests that may come at once
 */
public data class RateLimit(
    public val ratePerSecond: Double,
    public val burst: Int,
)
