package org.chestnutloom.daemon.settings

import kotlinx.collections.immutable.toImmutableSet
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.edge.EdgeSettings
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.wire.link.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The flags of `chestnutloomd edge`. */
internal val edgeFlags: List<Flag> =
    commonFlags +
        listOf(
            Flag("id", "gateway id, unique among the gateways of the environment"),
            Flag("caller-address", "IP address and port for callers, such as 10.0.0.1:8080"),
            Flag("health-address", "IP address and port for the load balancer's health checks"),
            Flag("store-address", "IP address and port of the platform's store"),
            Flag("row-bytes", "maximum size of a row of the store in bytes"),
            Flag("unready-ms", "how long a graceful shutdown accepts connections while its health checks fail"),
            Flag("grace-s", "maximum duration of a graceful shutdown in seconds"),
            Flag("processor-share", "share of a processor core that each core of the VM gives to the gateway"),
            Flag("contracts", "comma-separated names of the platform's contracts that are in force"),
        )

/** Reads the settings of an edge gateway. */
internal fun FlagReader.edgeSettings(): EdgeSettings =
    EdgeSettings(
        self =
            Member(
                gateway = GatewayId(identifier("id")),
                incarnation = newIncarnation(),
                failureDomain = identifier("failure-domain"),
                address = address("link"),
            ),
        callerAddress = socketAddress("caller-address"),
        healthAddress = socketAddress("health-address"),
        storeAddress = socketAddress("store-address"),
        rowBytes = int("row-bytes", MIN_ROW_BYTES..Int.MAX_VALUE, default = 65_536),
        unreadyPeriod = duration("unready-ms", DEFAULT_UNREADY_PERIOD),
        gracePeriod = double("grace-s", 1.0..MAX_GRACE_SECONDS, default = 8.0).seconds,
        processorShare = double("processor-share", MIN_PROCESSOR_SHARE..1.0, default = 1.0),
        contracts = list("contracts").toImmutableSet(),
    )

private fun FlagReader.socketAddress(flag: String): PeerAddress {
    val text = required(flag)
    val port = text.substringAfterLast(':', "").toIntOrNull()
    if (text.isNotEmpty() && port == null) addError(flag, "must be an IP address and a port, such as 10.0.0.1:8080")
    return PeerAddress(text.substringBeforeLast(':'), port ?: 0)
}

private fun newIncarnation(): Incarnation = Incarnation(java.lang.Long.toHexString(Random.nextLong()))

/** The load balancer removes a gateway after two failed health checks, which are a second apart. */
private val DEFAULT_UNREADY_PERIOD = 2_600.milliseconds
private const val MIN_ROW_BYTES = 4_096
private const val MIN_PROCESSOR_SHARE = 0.001
private const val MAX_GRACE_SECONDS = 3_600.0
