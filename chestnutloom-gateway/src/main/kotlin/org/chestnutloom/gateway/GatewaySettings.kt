package org.chestnutloom.gateway

import org.chestnutloom.id.GatewayId
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.rate.RatePolicy
import org.chestnutloom.route.RoutingPolicyKind
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one gateway process.
 *
 * @property environment the environment that the gateway serves, for example `production`
 * @property http the listen address of the HTTP API; port 0 selects a free port
 * @property link the listen address for links from other processes; port 0 selects a free port
 * @property advertised the link address published to other processes; null publishes [link] with the bound port
 * @property slots the number of slots that programs are hashed into; the same on every gateway of an environment
 * @property lease how long a gateway may serve requests after its most recent freshness proof
 * @property renewInterval how often the slot, lease and drain rows are read; the lease is renewed twice as often
 * @property pollInterval the interval at which the head row is read
 * @property heartbeatInterval the interval of heartbeats on each link
 * @property linkSilenceTimeout how long a link may deliver nothing before it is considered lost
 * @property routingPolicy how targets are selected for calls
 * @property ratePolicy how the rate and burst of a client account are divided among gateways
 * @property stopTimeout how long a graceful shutdown waits for in-flight requests
 */
public data class GatewaySettings(
    public val id: GatewayId,
    public val environment: String,
    public val failureDomain: String,
    public val http: PeerAddress,
    public val link: PeerAddress,
    public val advertised: PeerAddress?,
    public val tableUrl: String,
    public val objectUrl: String,
    public val vmListUrl: String,
    public val slots: Int = 64,
    public val lease: Duration = 4.seconds,
    public val renewInterval: Duration = 1.seconds,
    public val pollInterval: Duration = 500.milliseconds,
    public val heartbeatInterval: Duration = 500.milliseconds,
    public val linkSilenceTimeout: Duration = 2.seconds,
    public val connectTimeout: Duration = 1.seconds,
    public val storeTimeout: Duration = 1.seconds,
    public val routingPolicy: RoutingPolicyKind = RoutingPolicyKind.COST,
    public val stopTimeout: Duration = 60.seconds,
    public val ratePolicy: RatePolicy = RatePolicy.ESCROW,
    public val mechanisms: Mechanisms = Mechanisms.ALL,
)
