package org.chestnutloom.edge

import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/**
 * Settings of one edge gateway.
 *
 * @property self how the gateway registers itself
 * @property callerAddress where callers connect
 * @property healthAddress where the balancer asks whether the gateway is ready
 * @property storeAddress the platform's store
 * @property rowBytes the most that one row of the store holds
 * @property unreadyPeriod how long a planned stop goes on taking connections, so that the balancer notices it first
 * @property gracePeriod how long a planned stop may take
 */
public data class EdgeSettings(
    public val self: Member,
    public val callerAddress: PeerAddress,
    public val healthAddress: PeerAddress,
    public val storeAddress: PeerAddress,
    public val rowBytes: Int,
    public val unreadyPeriod: Duration,
    public val gracePeriod: Duration,
)
