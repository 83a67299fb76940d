package org.chestnutloom.edge

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/**
 * Settings of an edge gateway.
 *
 * @property self the member entry under which the gateway registers
 * @property callerAddress the listening address for callers
 * @property healthAddress the listening address for the load balancer's health checks
 * @property storeAddress the address of the platform's store
 * @property rowBytes the maximum size of a row in the store
 * @property unreadyPeriod how long a graceful shutdown still accepts connections until the load balancer detects it
 * @property gracePeriod the maximum duration of a graceful shutdown
 * @property processorShare the share of a processor core that each core of this VM gives to the gateway
 * @property contracts the names of the platform's contracts that are in force; the adapter interprets them
 */
public data class EdgeSettings(
    public val self: Member,
    public val callerAddress: PeerAddress,
    public val healthAddress: PeerAddress,
    public val storeAddress: PeerAddress,
    public val rowBytes: Int,
    public val unreadyPeriod: Duration,
    public val gracePeriod: Duration,
    public val processorShare: Double = 1.0,
    public val contracts: ImmutableSet<String> = persistentSetOf(),
)
