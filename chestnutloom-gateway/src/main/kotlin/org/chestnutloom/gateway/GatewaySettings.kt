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
 * @property environment the environment that the gateway serves, such as `production`
 * @property http where callers connect; port 0 picks a free one
 * @property link where other processes connect; port 0 picks a free one
 * @property advertised the address that other processes are told to use for links
 * @property slots how many slots programs are spread over; the same on every gateway of an environment
 * @property lease how long a gateway may act after its newest proof that it is current
 * @property renewInterval how often the lease is renewed, and the longest time between group commits
 * @property pollInterval how often the head row is read
 * @property heartbeatInterval how often each link carries a heartbeat
 * @property linkSilenceTimeout how long a link may be silent before it counts as lost
 * @property routingPolicy how calls are spread over targets
 * @property ratePolicy how a client account's rate and burst are divided among gateways
 * @property stopTimeout how long a planned stop waits for requests under way
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
