package org.chestnutloom.integration.fleet

import kotlinx.collections.immutable.toImmutableList
import org.chestnutloom.fakes.launch.ProcessSpec
import org.chestnutloom.fakes.launch.standInProcess
import org.chestnutloom.integration.fleet.Fleet.Companion.ENVIRONMENT
import org.chestnutloom.integration.fleet.Fleet.Companion.FAILURE_DOMAIN
import org.chestnutloom.integration.fleet.Fleet.Companion.HOST

/** Builds the process specifications of a fleet's targets, sidecars and gateways. */
internal class ProcessSpecs(
    private val options: FleetOptions,
) {
    /** Returns the specification of the engine or tool service [name]. */
    fun target(
        name: String,
        isEngine: Boolean,
        port: Int,
        logFile: String,
        objectUrl: String,
    ): ProcessSpec {
        val common = flags("port" to port, "log-file" to logFile)
        if (!isEngine) return standInProcess(name, "tool", *common.toTypedArray())
        val engine =
            flags(
                "decode-ms-per-step" to options.decodeMsPerStep.toInt(),
                "verifies-orders" to options.verifyOrders,
                "object-url" to objectUrl,
            )
        return standInProcess(name, "engine", *(common + engine + options.engineArguments).toTypedArray())
    }

    /** Returns the specification of the sidecar of [target]. */
    fun sidecar(target: TargetProcess): ProcessSpec {
        val served = if (target.isEngine) "models" to TEST_MODEL else "services" to "$TEST_SERVICE,$OPEN_SERVICE"
        val arguments =
            flags(
                "target" to target.name,
                "link-port" to target.linkPort,
                "kind" to if (target.isEngine) "model" else "tool",
                "target-url" to target.url,
                "max-running" to options.maxRunning,
                served,
            )
        return daemon("sidecar-${target.name}", "sidecar", arguments + options.sidecarArguments)
    }

    /** Returns the specification of gateway [name] with the flags shared by all gateways and [arguments]. */
    fun gateway(
        name: String,
        arguments: List<String>,
    ): ProcessSpec {
        val common = flags("id" to name, "http-host" to HOST, "advertised-host" to HOST, "lease-ms" to options.leaseMs)
        return daemon(name, "gateway", common + options.gatewayArguments + arguments)
    }

    private fun daemon(
        name: String,
        role: String,
        arguments: List<String>,
    ): ProcessSpec {
        val common =
            flags(
                "environment" to ENVIRONMENT,
                "failure-domain" to FAILURE_DOMAIN,
                "link-host" to HOST,
                "admin-host" to HOST,
                "admin-port" to 0,
            )
        return ProcessSpec(name, DAEMON_MAIN, (listOf(role) + common + disabled() + arguments).toImmutableList())
    }

    private fun disabled(): List<String> =
        if (options.disabled.isEmpty()) emptyList() else flags("unsafe-disable" to options.disabled.joinToString(","))

    private companion object {
        const val DAEMON_MAIN = "org.chestnutloom.daemon.MainKt"
    }
}
