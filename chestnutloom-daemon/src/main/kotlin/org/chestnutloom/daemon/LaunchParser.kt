package org.chestnutloom.daemon

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.chestnutloom.common.flag.Flag
import org.chestnutloom.common.flag.FlagParser
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.daemon.settings.commonSettings
import org.chestnutloom.daemon.settings.edgeFlags
import org.chestnutloom.daemon.settings.edgeSettings
import org.chestnutloom.daemon.settings.gatewayFlags
import org.chestnutloom.daemon.settings.gatewaySettings
import org.chestnutloom.daemon.settings.sidecarFlags
import org.chestnutloom.daemon.settings.sidecarSettings
import org.chestnutloom.edge.EdgeSettings
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.sidecar.SidecarSettings

/** Parses the command line of `chestnutloomd` and creates the node factory of the given role. */
internal class LaunchParser(
    private val gatewayFactory: (GatewaySettings) -> NodeFactory,
    private val sidecarFactory: (SidecarSettings) -> NodeFactory,
    private val edgeFactory: (EdgeSettings) -> NodeFactory,
) {
    fun parse(
        args: List<String>,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, LaunchConfig> =
        when (args.firstOrNull()) {
            GATEWAY -> read(GATEWAY, gatewayFlags, args.drop(1), environment) { gatewayConfig(it) }
            EDGE -> read(EDGE, edgeFlags, args.drop(1), environment) { edgeConfig(it) }
            SIDECAR -> read(SIDECAR, sidecarFlags, args.drop(1), environment) { sidecarConfig(it) }
            else ->
                persistentListOf(
                    UsageError("chestnutloomd", "the first argument must be gateway, sidecar or edge"),
                ).left()
        }

    private fun read(
        role: String,
        flags: List<Flag>,
        args: List<String>,
        environment: Map<String, String>,
        createConfig: (FlagReader) -> LaunchConfig,
    ): Either<ImmutableList<UsageError>, LaunchConfig> =
        FlagParser("chestnutloomd $role", flags).parse(args, environment).flatMap { values ->
            val reader = FlagReader(values)
            val config = createConfig(reader)
            if (reader.errors.isEmpty()) config.right() else reader.errors.left()
        }

    private fun gatewayConfig(reader: FlagReader): LaunchConfig {
        val settings = reader.gatewaySettings()
        return LaunchConfig(GATEWAY, settings.id.value, reader.commonSettings(), gatewayFactory(settings))
    }

    private fun sidecarConfig(reader: FlagReader): LaunchConfig {
        val settings = reader.sidecarSettings()
        return LaunchConfig(SIDECAR, settings.target.value, reader.commonSettings(), sidecarFactory(settings))
    }

    private fun edgeConfig(reader: FlagReader): LaunchConfig {
        val settings = reader.edgeSettings()
        return LaunchConfig(EDGE, settings.self.gateway.value, reader.commonSettings(), edgeFactory(settings))
    }

    private companion object {
        private const val EDGE = "edge"
        private const val GATEWAY = "gateway"
        private const val SIDECAR = "sidecar"
    }
}
