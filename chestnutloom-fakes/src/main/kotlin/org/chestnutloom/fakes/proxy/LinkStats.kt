package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/**
 * Statistics of a link.
 *
 * @property faultsTaken the number of connections or chunks that a fault was applied to
 */
@Serializable
public data class LinkStats(
    public val name: String,
    public val port: Int,
    public val openConnections: Int,
    public val acceptedConnections: Int,
    public val bytesToTarget: Long,
    public val bytesToCaller: Long,
    public val faultsTaken: Int,
)
