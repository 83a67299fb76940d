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
import org.chestnutloom.daemon.settings.common
import org.chestnutloom.daemon.settings.edgeFlags
import org.chestnutloom.daemon.settings.edgeSettings
import org.chestnutloom.daemon.settings.gatewayFlags
import org.chestnutloom.daemon.settings.gatewaySettings
import org.chestnutloom.daemon.settings.sidecarFlags
import org.chestnutloom.daemon.settings.sidecarSettings
import org.chestnutloom.edge.EdgeSettings
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.sidecar.SidecarSettings

/** Reads the command line of `chestnutloomd`, and makes the node from its settings by the functions given. */
internal class LaunchParser(
    private val gatewayFactory: (GatewaySettings) -> NodeFactory,
    private val sidecarFactory: (SidecarSettings) -> NodeFactory,
    private val edgeFactory: (EdgeSettings) -> NodeFactory,
) {
    fun parse(
        args: List<String>,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, Launch> =
        when (args.firstOrNull()) {
            GATEWAY -> read(GATEWAY, gatewayFlags, args.drop(1), environment) { gatewayLaunch(it) }
            EDGE -> read(EDGE, edgeFlags, args.drop(1), environment) { edgeLaunch(it) }
            SIDECAR -> read(SIDECAR, sidecarFlags, args.drop(1), environment) { sidecarLaunch(it) }
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
        launch: (FlagReader) -> Launch,
    ): Either<ImmutableList<UsageError>, Launch> =
        FlagParser("chestnutloomd $role", flags).parse(args, environment).flatMap { values ->
            val reader = FlagReader(values)
            val result = launch(reader)
            if (reader.errors.isEmpty()) result.right() else reader.errors.left()
        }

    private fun gatewayLaunch(reader: FlagReader): Launch {
        val settings = reader.gatewaySettings()
        return Launch(GATEWAY, settings.id.value, reader.common(), gatewayFactory(settings))
    }

    private fun sidecarLaunch(reader: FlagReader): Launch {
        val settings = reader.sidecarSettings()
        return Launch(SIDECAR, settings.target.value, reader.common(), sidecarFactory(settings))
    }

    private fun edgeLaunch(reader: FlagReader): Launch {
        val settings = reader.edgeSettings()
        return Launch(EDGE, settings.self.gateway.value, reader.common(), edgeFactory(settings))
    }

    private companion object {
        private const val EDGE = "edge"
        private const val GATEWAY = "gateway"
        private const val SIDECAR = "sidecar"
    }
}
