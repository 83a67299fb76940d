package org.chestnutloom.daemon.settings

import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.PeerAddress

/** The flags that all roles have in common. */
internal val commonFlags: List<Flag> =
    listOf(
        Flag("environment", "environment that the process serves, such as production"),
        Flag("failure-domain", "failure domain of the VM"),
        Flag("link-host", "IP address for links from other processes"),
        Flag("link-port", "port for links from other processes; 0 selects a free port"),
        Flag("admin-host", "IP address for health checks and metrics; defaults to 127.0.0.1"),
        Flag("admin-port", "port for health checks and metrics; 0 selects a free port"),
        Flag("heartbeat-interval-ms", "interval between heartbeats on a link"),
        Flag("link-silence-ms", "how long a link may be silent before it is considered lost"),
        Flag("stop-timeout-ms", "how long a graceful shutdown waits for requests in flight"),
        Flag("otlp-endpoint", "OTLP/HTTP endpoint for spans; spans are logged if it is not set"),
        Flag("trace-ratio", "ratio of traces that are sampled, from 0 to 1"),
        Flag("unsafe-disable", "for tests only: safety mechanisms to disable, separated by commas"),
    )

internal fun FlagReader.commonSettings(): CommonSettings =
    CommonSettings(
        admin = PeerAddress(host("admin", optional("admin-host") ?: LOOPBACK), port("admin")),
        otlpEndpoint = optional("otlp-endpoint")?.let { url("otlp-endpoint") },
        traceRatio = double("trace-ratio", 0.0..1.0, default = 1.0),
    )

/** Returns the address in the required flags `{name}-host` and `{name}-port`. */
internal fun FlagReader.address(name: String): PeerAddress {
    required("$name-port")
    return PeerAddress(host(name, required("$name-host")), port(name))
}

/** Returns the address in the flags `{name}-host` and `{name}-port`, or null when neither is set. */
internal fun FlagReader.optionalAddress(name: String): PeerAddress? {
    if (optional("$name-host") == null && optional("$name-port") == null) return null
    return address(name)
}

private fun FlagReader.port(name: String): Int = int("$name-port", 0..MAX_PORT, default = 0)

private fun FlagReader.host(
    name: String,
    text: String,
): String {
    if (text.isNotEmpty() && !IP_ADDRESS.matches(text)) addError("$name-host", "must be an IP address")
    return text
}

/** Returns the identifier of an environment, failure domain or process from the required flag [flag]. */
internal fun FlagReader.identifier(flag: String): String {
    val text = required(flag)
    if (text.isNotEmpty() && !IDENTIFIER.matches(text)) addError(flag, "must contain only letters, digits and . _ : -")
    return text
}

/** Returns the enum constant that the flag names in lower case with hyphens, or [default]. */
internal inline fun <reified E : Enum<E>> FlagReader.enumConstant(
    name: String,
    default: E,
): E = choice(name, enumValues<E>().associateBy { it.name.lowercase().replace('_', '-') }, default)

/** Returns the mechanisms that are enabled. */
internal fun FlagReader.mechanisms(): Mechanisms {
    val named = list("unsafe-disable").map { text -> text to Mechanism.entries.find { it.name == text.uppercase() } }
    named.filter { it.second == null }.forEach { addError("unsafe-disable", "names the unknown mechanism ${it.first}") }
    return Mechanisms.without(named.mapNotNull { it.second }.toSet())
}

private const val MAX_PORT = 65_535
private const val LOOPBACK = "127.0.0.1"
private val IP_ADDRESS = Regex("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")
private val IDENTIFIER = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
