package org.chestnutloom.edge

import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/**
 * Settings of one edge gateway.
 *
 * @property self how the gateway registers itself
 * @property callers where callers connect
 * @property health where the balancer asks whether the gateway is ready
 * @property store the platform's store
 * @property rowBytes the most that one row of the store holds
 * @property unreadyTime how long a planned stop goes on taking connections, so that the balancer notices it first
 * @property grace how long a planned stop may take
 */
public data class EdgeSettings(
    public val self: Member,
    public val callers: PeerAddress,
    public val health: PeerAddress,
    public val store: PeerAddress,
    public val rowBytes: Int,
    public val unreadyTime: Duration,
    public val grace: Duration,
)
