package org.chestnutloom.daemon.settings

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
            Flag("caller-address", "IP number and port for callers, as 10.0.0.1:8080"),
            Flag("health-address", "IP number and port for the balancer's health checks"),
            Flag("store-address", "IP number and port of the platform's store"),
            Flag("row-bytes", "the most bytes that one row of the store holds"),
            Flag("unready-ms", "how long a planned stop takes connections, while the balancer's health checks fail"),
            Flag("grace-s", "how many seconds a planned stop may take"),
        )

/** Reads the settings of an edge gateway. */
internal fun FlagReader.edgeSettings(): EdgeSettings =
    EdgeSettings(
        self =
            Member(
                gateway = GatewayId(name("id")),
                incarnation = newIncarnation(),
                failureDomain = name("failure-domain"),
                address = address("link"),
            ),
        callerAddress = socketAddress("caller-address"),
        healthAddress = socketAddress("health-address"),
        storeAddress = socketAddress("store-address"),
        rowBytes = int("row-bytes", SMALLEST_ROW_BYTES..Int.MAX_VALUE, default = 65_536),
        unreadyPeriod = duration("unready-ms", BALANCER_NOTICE),
        gracePeriod = double("grace-s", 1.0..LONGEST_GRACE_S, default = 8.0).seconds,
    )

private fun FlagReader.socketAddress(flag: String): PeerAddress {
    val text = required(flag)
    val port = text.substringAfterLast(':', "").toIntOrNull()
    if (text.isNotEmpty() && port == null) addError(flag, "must be an IP number and a port, as 10.0.0.1:8080")
    return PeerAddress(text.substringBeforeLast(':'), port ?: 0)
}

private fun newIncarnation(): Incarnation = Incarnation(java.lang.Long.toHexString(Random.nextLong()))

/** The balancer takes a gateway out after two health checks, a second apart, have failed. */
private val BALANCER_NOTICE = 2_600.milliseconds
private const val SMALLEST_ROW_BYTES = 4_096
private const val LONGEST_GRACE_S = 3_600.0
