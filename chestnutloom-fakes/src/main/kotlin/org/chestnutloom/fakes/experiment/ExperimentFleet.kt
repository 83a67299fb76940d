package org.chestnutloom.fakes.experiment

import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.chestnutloom.config.AccessKey
import org.chestnutloom.fakes.launch.EventLine
import org.chestnutloom.fakes.launch.LaunchedProcess
import org.chestnutloom.fakes.launch.ProcessLauncher
import org.chestnutloom.fakes.launch.ProcessSpec
import org.chestnutloom.fakes.launch.standInProcess
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import kotlin.time.Duration.Companion.seconds

/** The processes of one run: platform services, targets with their sidecars, and gateways. */
internal class ExperimentFleet(
    private val workload: Workload,
    private val seed: Long,
    private val arm: Arm,
    private val launcher: ProcessLauncher,
    private val client: FleetClient,
) {
    private val startPermits = Semaphore(MAX_PARALLEL_STARTS)

    lateinit var tableUrl: String
        private set
    private lateinit var objectUrl: String
    private lateinit var vmListUrl: String

    val keys: Map<String, AccessKey> = workload.accounts.associate { it.name to AccessKey.generate() }
    val engines = mutableListOf<TargetNode>()
    val tools = mutableListOf<TargetNode>()
    val gateways = mutableListOf<GatewayNode>()

    /** Starts all processes and waits until every gateway is ready. */
    suspend fun start(nowMs: Long) {
        tableUrl = standIn("table").url
        objectUrl = standIn("objects").url
        vmListUrl = standIn("vms").url
        val rows = EnvironmentRows(ENVIRONMENT, EnvironmentDocument.of(workload), keys, nowMs)
        client.transact(tableUrl, rows.transaction())
        engines += startAll(workload.fleet.engines) { startEngine(it) }
        tools += startAll(workload.fleet.tools) { startTool(it) }
        gateways += startAll(workload.fleet.gateways) { startGateway(it) }
        gateways.forEach { client.awaitReady(it.adminUrl, READY_TIMEOUT) }
    }

    private suspend fun <T> startAll(
        count: Int,
        start: suspend (Int) -> T,
    ): List<T> = coroutineScope { (0 until count).map { async { startPermits.withPermit { start(it) } } }.awaitAll() }

    private suspend fun startEngine(index: Int): TargetNode {
        val fleet = workload.fleet
        val name = "engine-${index + 1}"
        val engine =
            standIn(
                name,
                "engine",
                "--seed",
                seed.toString(),
                "--prefill-tokens-per-second",
                fleet.prefillTokensPerSecond.toString(),
                "--decode-ms-per-step",
                fleet.decodeMsPerStep.toString(),
                "--max-batch",
                fleet.engineBatch.toString(),
                "--cache-tokens",
                fleet.cacheTokens.toString(),
                "--tokens-per-chunk",
                TOKENS_PER_CHUNK.toString(),
                "--object-url",
                objectUrl,
                "--log-body-characters",
                "0",
            )
        val targetFlags =
            listOf("--kind", "model", "--models", "rattan-8b", "--max-running", fleet.maxRunning.toString())
        return startSidecar(index, name, engine, targetFlags)
    }

    private suspend fun startTool(index: Int): TargetNode {
        val name = "tool-${index + 1}"
        val targetFlags = listOf("--kind", "tool", "--services", "cane-payments", "--max-running", "16")
        return startSidecar(index, name, standIn(name, "tool"), targetFlags)
    }

    private suspend fun startSidecar(
        index: Int,
        name: String,
        target: StandInNode,
        targetFlags: List<String>,
    ): TargetNode {
        val roleFlags = listOf("sidecar", "--target", name, "--target-url", target.url)
        val sidecar = daemon("$name-sidecar", roleFlags + sharedFlags(index) + targetFlags + arm.sidecarArguments)
        registerVm(index, name, VmRole.TARGET, sidecar.listening.port("link_port"))
        return TargetNode(name, target.url, target.process, sidecar.process)
    }

    private suspend fun startGateway(index: Int): GatewayNode {
        val name = "gateway-${index + 1}"
        val roleFlags = listOf("gateway", "--id", name, "--http-host", HOST, "--http-port", "0")
        val platformFlags = listOf("--table-url", tableUrl, "--object-url", objectUrl, "--vm-list-url", vmListUrl)
        val daemon = daemon(name, roleFlags + sharedFlags(index) + platformFlags + arm.gatewayArguments)
        registerVm(index, name, VmRole.GATEWAY, daemon.listening.port("link_port"))
        val admin = "http://$HOST:${daemon.listening.port("admin_port")}"
        return GatewayNode(name, "http://$HOST:${daemon.listening.port("http_port")}", admin, daemon.process)
    }

    private fun sharedFlags(index: Int): List<String> =
        listOf(
            "--environment",
            ENVIRONMENT,
            "--failure-domain",
            failureDomain(index),
            "--link-host",
            HOST,
            "--link-port",
            "0",
            "--admin-port",
            "0",
            "--trace-ratio",
            "0",
        )

    private suspend fun registerVm(
        index: Int,
        name: String,
        role: VmRole,
        port: Int,
    ) = client.registerVm(vmListUrl, VmEntry(name, role, HOST, port, failureDomain(index), VmState.LIVE))

    private fun failureDomain(index: Int): String =
        workload.fleet.failureDomains[index % workload.fleet.failureDomains.size]

    private suspend fun standIn(
        name: String,
        vararg arguments: String = arrayOf(name),
    ): StandInNode {
        val process = launcher.start(standInProcess(name, *arguments))
        return StandInNode("http://$HOST:${process.awaitListening(START_TIMEOUT).port()}", process)
    }

    private suspend fun daemon(
        name: String,
        arguments: List<String>,
    ): StartedDaemon {
        val process = launcher.start(ProcessSpec(name, DAEMON_MAIN, arguments.toImmutableList()))
        return StartedDaemon(process, process.awaitListening(START_TIMEOUT))
    }

    private class StandInNode(
        val url: String,
        val process: LaunchedProcess,
    )

    private class StartedDaemon(
        val process: LaunchedProcess,
        val listening: EventLine,
    )

    private companion object {
        const val HOST = "127.0.0.1"
        const val ENVIRONMENT = "production"
        const val DAEMON_MAIN = "org.chestnutloom.daemon.MainKt"
        const val TOKENS_PER_CHUNK = 4
        const val MAX_PARALLEL_STARTS = 6
        val START_TIMEOUT = 60.seconds
        val READY_TIMEOUT = 60.seconds
    }
}
