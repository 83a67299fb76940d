package org.chestnutloom.daemon.settings

import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RatePolicy
import org.chestnutloom.route.RoutingPolicyKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The flags of `chestnutloomd gateway`. */
internal val gatewayFlags: List<Flag> =
    commonFlags +
        listOf(
            Flag("id", "gateway id, the same as on the platform's VM list"),
            Flag("http-host", "IP address for callers"),
            Flag("http-port", "port for callers; 0 selects a free port"),
            Flag("advertised-host", "IP address advertised to other processes for links"),
            Flag("advertised-port", "port advertised to other processes for links"),
            Flag("table-url", "address of the table service"),
            Flag("object-url", "address of the object store"),
            Flag("vm-list-url", "address of the VM list"),
            Flag("slots", "number of slots that programs are hashed into; the same on every gateway of an environment"),
            Flag("lease-ms", "how long the gateway may act after its latest freshness proof"),
            Flag(
                "renew-interval-ms",
                "maximum time between renewals of the lease, which are due after half of it; " +
                    "at most half of --lease-ms",
            ),
            Flag("poll-interval-ms", "how often the head row is read"),
            Flag("routing-policy", "how targets are chosen: cost, least-loaded or random"),
            Flag("rate-policy", "how rate limits are divided among gateways: escrow or static-share"),
            Flag("connect-timeout-ms", "how long connecting to another process may take"),
            Flag("store-timeout-ms", "how long the gateway waits for a response of the platform"),
        )

/** Reads the settings of a gateway. */
internal fun FlagReader.gatewaySettings(): GatewaySettings {
    val settings =
        GatewaySettings(
            id = GatewayId(identifier("id")),
            environment = identifier("environment"),
            failureDomain = identifier("failure-domain"),
            http = address("http"),
            link = address("link"),
            advertised = optionalAddress("advertised"),
            tableUrl = url("table-url"),
            objectUrl = url("object-url"),
            vmListUrl = url("vm-list-url"),
            slots = int("slots", 1..MAX_SLOTS, default = 64),
            lease = duration("lease-ms", 4.seconds),
            renewInterval = duration("renew-interval-ms", 1.seconds),
            pollInterval = duration("poll-interval-ms", 500.milliseconds),
            heartbeatInterval = duration("heartbeat-interval-ms", 500.milliseconds),
            linkSilenceTimeout = duration("link-silence-ms", 2.seconds),
            connectTimeout = duration("connect-timeout-ms", 1.seconds),
            storeTimeout = duration("store-timeout-ms", 1.seconds),
            stopTimeout = duration("stop-timeout-ms", 60.seconds),
            routingPolicy = enumConstant("routing-policy", RoutingPolicyKind.COST),
            ratePolicy = enumConstant("rate-policy", RatePolicy.ESCROW),
            mechanisms = mechanisms(),
        )
    requireAtMostHalf("renew-interval-ms", settings.renewInterval, "lease-ms", settings.lease)
    requireAtMostHalf(
        "heartbeat-interval-ms",
        settings.heartbeatInterval,
        "link-silence-ms",
        settings.linkSilenceTimeout,
    )
    return settings
}

/** Adds an error unless [shorter] is at most half of [longer]. */
internal fun FlagReader.requireAtMostHalf(
    shorterName: String,
    shorter: Duration,
    longerName: String,
    longer: Duration,
) {
    if (shorter * 2 > longer) addError(shorterName, "must be at most half of --$longerName")
}

private const val MAX_SLOTS = 65_536
