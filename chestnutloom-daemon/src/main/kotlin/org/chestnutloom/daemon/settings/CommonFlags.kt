package org.chestnutloom.daemon.settings

import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.PeerAddress

/** The flags that both kinds of process have. */
internal val commonFlags: List<Flag> =
    listOf(
        Flag("environment", "environment that the process serves, such as production"),
        Flag("failure-domain", "failure domain that the VM stands in"),
        Flag("link-host", "IP number for links from other processes"),
        Flag("link-port", "port for links from other processes; 0 picks a free one"),
        Flag("admin-host", "IP number for health checks and metrics; 127.0.0.1 when left out"),
        Flag("admin-port", "port for health checks and metrics; 0 picks a free one"),
        Flag("heartbeat-interval-ms", "how often each link carries a heartbeat"),
        Flag("link-silence-ms", "how long a link may be silent before it counts as lost"),
        Flag("stop-timeout-ms", "how long a planned stop waits for requests under way"),
        Flag("otlp-endpoint", "address that takes spans by OTLP over HTTP; without it spans are logged"),
        Flag("trace-ratio", "share of traces that are kept, from 0 to 1"),
        Flag("unsafe-disable", "for tests only: safety mechanisms to run without, separated by commas"),
    )

internal fun FlagReader.commonSettings(): CommonSettings =
    CommonSettings(
        admin = PeerAddress(host("admin", optional("admin-host") ?: LOOPBACK), port("admin")),
        otlpEndpoint = optional("otlp-endpoint")?.let { url("otlp-endpoint") },
        traceRatio = double("trace-ratio", 0.0..1.0, default = 1.0),
    )

/** Returns the address in the flags `{name}-host` and `{name}-port`, which have to be given. */
internal fun FlagReader.address(name: String): PeerAddress {
    required("$name-port")
    return PeerAddress(host(name, required("$name-host")), port(name))
}

/** Returns the address in the flags `{name}-host` and `{name}-port`, or null when neither was given. */
internal fun FlagReader.optionalAddress(name: String): PeerAddress? {
    if (optional("$name-host") == null && optional("$name-port") == null) return null
    return address(name)
}

private fun FlagReader.port(name: String): Int = int("$name-port", 0..MAX_PORT, default = 0)

private fun FlagReader.host(
    name: String,
    text: String,
): String {
    if (text.isNotEmpty() && !IP_ADDRESS.matches(text)) addError("$name-host", "must be an IP number")
    return text
}

/** Returns the name of an environment, failure domain or process, which has to be given. */
internal fun FlagReader.identifier(flag: String): String {
    val text = required(flag)
    if (text.isNotEmpty() && !IDENTIFIER.matches(text)) addError(flag, "must be letters, digits and . _ : - only")
    return text
}

/** Returns which constant of an enumeration the flag names, written in lower case with hyphens, or [default]. */
internal inline fun <reified E : Enum<E>> FlagReader.enumConstant(
    name: String,
    default: E,
): E = choice(name, enumValues<E>().associateBy { it.name.lowercase().replace('_', '-') }, default)

/** Returns the mechanisms to run with. */
internal fun FlagReader.mechanisms(): Mechanisms {
    val named = list("unsafe-disable").map { text -> text to Mechanism.entries.find { it.name == text.uppercase() } }
    named.filter { it.second == null }.forEach { addError("unsafe-disable", "names the unknown mechanism ${it.first}") }
    return Mechanisms.without(named.mapNotNull { it.second }.toSet())
}

private const val MAX_PORT = 65_535
private const val LOOPBACK = "127.0.0.1"
private val IP_ADDRESS = Regex("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")
private val IDENTIFIER = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
