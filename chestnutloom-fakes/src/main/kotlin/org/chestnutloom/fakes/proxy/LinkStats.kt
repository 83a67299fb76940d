package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/**
 * What a link of a proxy carried.
 *
 * @property faultsTaken how many connections or pieces a fault changed
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
