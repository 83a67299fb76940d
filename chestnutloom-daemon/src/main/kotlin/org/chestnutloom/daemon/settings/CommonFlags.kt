package org.chestnutloom.daemon.settings

import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.platform.flag.Flag
import org.chestnutloom.platform.flag.FlagReader
import org.chestnutloom.wire.link.PeerAddress

/** The flags that both kinds of process have. */
internal val commonFlags: List<Flag> =
    listOf(
        Flag("environment", "environment that the process serves, such as production"),
        Flag("failure-domain", "failure domain that the VM stands in"),
        Flag("link", "IP number and port for links from other processes; port 0 picks a free one"),
        Flag("admin", "IP number and port for health checks and metrics; port 0 picks a free one"),
        Flag("heartbeat-interval-ms", "how often each link carries a heartbeat"),
        Flag("link-silence-ms", "how long a link may be silent before it counts as lost"),
        Flag("stop-timeout-ms", "how long a planned stop waits for requests under way"),
        Flag("otlp-endpoint", "address that takes spans by OTLP over HTTP; without it spans are logged"),
        Flag("trace-ratio", "share of traces that are kept, from 0 to 1"),
        Flag("unsafe-disable", "for tests only: safety mechanisms to run without, separated by commas"),
    )

internal fun FlagReader.common(): CommonSettings =
    CommonSettings(
        admin = optionalAddress("admin") ?: PeerAddress("127.0.0.1", 0),
        otlpEndpoint = optional("otlp-endpoint")?.let { url("otlp-endpoint") },
        traceRatio = decimal("trace-ratio", 0.0..1.0, default = 1.0),
    )

/** Returns the address of the flag, which has to be given. */
internal fun FlagReader.address(name: String): PeerAddress {
    val text = required(name)
    if (text.isEmpty()) return PeerAddress("", 0)
    return optionalAddress(name) ?: PeerAddress("", 0)
}

/** Returns the address of the flag, or null when it was not given. */
internal fun FlagReader.optionalAddress(name: String): PeerAddress? {
    val text = optional(name) ?: return null
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val host = text.substringBeforeLast(':').removeSurrounding("[", "]")
    if (port != null && port in 0..LAST_PORT && host.isNotEmpty()) return PeerAddress(host, port)
    fault(name, "must be an IP number and a port, such as 127.0.0.1:7000")
    return null
}

/** Returns the name of an environment, failure domain or process, which has to be given. */
internal fun FlagReader.name(flag: String): String {
    val text = required(flag)
    if (text.isNotEmpty() && !NAME.matches(text)) fault(flag, "must be letters, digits and . _ : - only")
    return text
}

/** Returns the mechanisms to run with. */
internal fun FlagReader.mechanisms(): Mechanisms {
    val named = list("unsafe-disable").map { text -> text to Mechanism.entries.find { it.name == text.uppercase() } }
    named.filter { it.second == null }.forEach { fault("unsafe-disable", "names the unknown mechanism ${it.first}") }
    return Mechanisms.without(named.mapNotNull { it.second }.toSet())
}

private const val LAST_PORT = 65_535
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
