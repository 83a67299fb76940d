package org.chestnutloom.integration.fleet

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.launch.LaunchedProcess
import org.chestnutloom.fakes.launch.ProcessLauncher
import org.chestnutloom.fakes.launch.processLauncher
import org.chestnutloom.fakes.launch.standInProcess
import org.chestnutloom.integration.caller.CallerClient
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import java.nio.file.Files
import java.nio.file.Path

/**
 * A complete environment of stand-ins, sidecars and gateways, each a process that listens on loopback.
 *
 * Closing the fleet kills its processes.
 */
class Fleet(
    val options: FleetOptions,
) : AutoCloseable {
    /** Contains the output of the processes and the request logs of the targets. */
    val directory: Path = Files.createTempDirectory("chestnutloom-fleet-")

    private val launcher: ProcessLauncher = processLauncher(directory)
    private val ports = PortAllocator()
    private val specs = ProcessSpecs(options)

    /** Sends the requests of callers. */
    val caller = CallerClient()

    /** Sets faults of the stand-ins and reads their logs. */
    val admin = StandInAdminClient()

    /** The table service. */
    lateinit var table: StandInProcess
        private set

    /** The object store. */
    lateinit var objects: StandInProcess
        private set

    /** The VM list. */
    lateinit var vms: StandInProcess
        private set

    /** The fault-injecting proxy, or null when the fleet runs without one. */
    var proxy: ProxyProcess? = null
        private set

    /** The model engines, in order. */
    val engines: MutableList<TargetProcess> = mutableListOf()

    /** The tool services, in order. */
    val tools: MutableList<TargetProcess> = mutableListOf()

    /** The gateways, by index; a restarted gateway replaces its predecessor. */
    val gateways: MutableList<GatewayProcess> = mutableListOf()

    /** The command-line tool, configured for this environment. */
    val cli: OperatorCli by lazy { OperatorCli(launcher, environmentArguments()) }

    /** Base URLs of the gateways for callers. */
    val gatewayUrls: List<String>
        get() = gateways.map { it.url }

    /** Starts all processes, applies the settings document and waits until all gateways are ready. */
    suspend fun start(): Fleet {
        startPlatform()
        startTargets()
        val document = fleetDocument(options)
        cli.applyDocument(document, environment = ENVIRONMENT, waitSeconds = 0)
        startGateways()
        return this
    }

    /** Starts gateway [index], on the ports of its predecessor if there was one. */
    suspend fun startGateway(
        index: Int,
        arguments: List<String> = emptyList(),
    ): GatewayProcess {
        val gateway = launchGateway(index, arguments)
        if (index < gateways.size) gateways[index] = gateway else gateways += gateway
        gateway.awaitReady(admin)
        return gateway
    }

    /** Restarts the sidecar of [target] on the same port. */
    suspend fun restartSidecar(target: TargetProcess): LaunchedProcess {
        target.sidecar = launcher.start(specs.sidecar(target))
        target.sidecar.awaitListening()
        return target.sidecar
    }

    /** Restarts the engine or tool service of [target] on the same port. */
    suspend fun restartTarget(target: TargetProcess) {
        target.process =
            launcher.start(specs.target(target.name, target.isEngine, target.targetPort, target.logFile, objects.url))
        target.process.awaitListening()
    }

    /** Creates an access key for [account]. */
    suspend fun createKey(account: String): CreatedKey = cli.createKey(account, ENVIRONMENT)

    override fun close() {
        caller.close()
        admin.close()
        launcher.close()
    }

    private suspend fun startPlatform() =
        coroutineScope {
            val names = listOf("table", "objects", "vms")
            val started = names.map { async { startStandIn(it, it) } }.awaitAll()
            table = started[0]
            objects = started[1]
            vms = started[2]
            if (options.proxied) proxy = ProxyProcess(startStandIn("proxy", "proxy"), admin)
        }

    private suspend fun startStandIn(
        name: String,
        vararg arguments: String,
    ): StandInProcess {
        val process = launcher.start(standInProcess(name, *arguments))
        val line = process.awaitListening()
        return StandInProcess(process, "http://$HOST:${line.port()}")
    }

    private suspend fun startTargets() =
        coroutineScope {
            val engineTargets = (0 until options.engines).map { async { startTarget(engineName(it), isEngine = true) } }
            val toolTargets =
                (0 until options.toolServices).map {
                    async {
                        startTarget(
                            toolName(it),
                            isEngine = false,
                        )
                    }
                }
            engines += engineTargets.awaitAll()
            tools += toolTargets.awaitAll()
        }

    private suspend fun startTarget(
        name: String,
        isEngine: Boolean,
    ): TargetProcess {
        val port = ports.next()
        val logFile = directory.resolve("$name-requests.log").toString()
        val process = launcher.start(specs.target(name, isEngine, port, logFile, objects.url))
        process.awaitListening()
        val advertisedPort = portThroughProxy("$name-target", port)
        val linkPort = ports.next()
        val target = TargetProcess(name, isEngine, port, logFile, "http://$HOST:$advertisedPort", linkPort, process)
        target.sidecar = launcher.start(specs.sidecar(target))
        target.sidecar.awaitListening()
        registerVm(name, VmRole.TARGET, portThroughProxy("$name-link", linkPort), VmState.LIVE)
        return target
    }

    private suspend fun startGateways() =
        coroutineScope {
            val started = (0 until options.gateways).map { async { launchGateway(it, emptyList()) } }.awaitAll()
            gateways += started
            started.map { async { it.awaitReady(admin) } }.awaitAll()
        }

    private suspend fun launchGateway(
        index: Int,
        extraArguments: List<String>,
    ): GatewayProcess {
        val name = gatewayName(index)
        val predecessor = gateways.getOrNull(index)
        val linkPort = predecessor?.linkPort ?: ports.next()
        val httpPort = predecessor?.httpPort ?: ports.next()
        val advertisedPort = portThroughProxy("$name-link", linkPort)
        registerVm(name, VmRole.GATEWAY, advertisedPort, VmState.LIVE)
        val arguments =
            flags(
                "http-port" to httpPort,
                "link-port" to linkPort,
                "advertised-port" to advertisedPort,
                "table-url" to "http://$HOST:${portThroughProxy("$name-table", table.port)}",
                "object-url" to "http://$HOST:${portThroughProxy("$name-objects", objects.port)}",
                "vm-list-url" to vms.url,
            )
        val process = launcher.start(specs.gateway(name, arguments + extraArguments))
        val line = process.awaitListening()
        val callerPort = portThroughProxy("$name-http", httpPort)
        return GatewayProcess(name, process, linkPort, httpPort, callerPort, line.port("admin_port"))
    }

    private fun environmentArguments(): List<String> =
        flags("table-url" to table.url, "object-url" to objects.url, "vm-list-url" to vms.url)

    /** Returns the port of the proxy link to [port], or [port] itself if the fleet has no proxy. */
    private suspend fun portThroughProxy(
        link: String,
        port: Int,
    ): Int = proxy?.link(link, port) ?: port

    /** Adds or updates a VM on the VM list. */
    suspend fun registerVm(
        name: String,
        role: VmRole,
        port: Int,
        state: VmState,
    ) {
        admin.putVm(vms.url, VmEntry(name, role, HOST, port, FAILURE_DOMAIN, state))
    }

    companion object {
        /** The environment that test fleets run. */
        const val ENVIRONMENT: String = "production"

        /** The IP address of every process. */
        const val HOST: String = "127.0.0.1"

        /** The failure domain of every process. */
        const val FAILURE_DOMAIN: String = "siracusa"
    }
}
