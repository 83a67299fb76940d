package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.launch.LaunchedProcess
import org.chestnutloom.fakes.platform.TableStats
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures the resource usage of a fleet's gateways and sidecars over a run. */
internal class CostMeter(
    private val fleet: ExperimentFleet,
    private val client: FleetClient,
) {
    private val gateways = fleet.gateways.map(GatewayNode::process)
    private val sidecars = (fleet.engines + fleet.tools).map(TargetNode::sidecar)
    private val cpuMsBefore = mutableMapOf<Long, Long>()
    private lateinit var tableBefore: TableStats

    suspend fun start() {
        (gateways + sidecars).forEach { cpuMsBefore[it.pid] = usage(it)?.cpuMs ?: 0 }
        tableBefore = client.tableStats(fleet.tableUrl)
    }

    suspend fun cost(
        requests: Long,
        elapsed: Duration,
    ): ControlCost {
        val tableAfter = client.tableStats(fleet.tableUrl)
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        return ControlCost(
            gatewayProcessorMsPerRequest = cpuMs(gateways) / requests.coerceAtLeast(1).toDouble(),
            sidecarProcessorMsPerRequest = cpuMs(sidecars) / requests.coerceAtLeast(1).toDouble(),
            gatewayResidentMb = residentMb(gateways),
            sidecarResidentMb = residentMb(sidecars),
            tableReadsPerSecond = (tableAfter.reads - tableBefore.reads) / seconds,
            tableTransactionsPerSecond = (tableAfter.transactions - tableBefore.transactions) / seconds,
        )
    }

    /** Returns the CPU time since [start] of the processes that are still running. */
    private fun cpuMs(processes: List<LaunchedProcess>): Long =
        processes.sumOf { process ->
            val after = usage(process)?.cpuMs ?: return@sumOf 0L
            after - cpuMsBefore.getValue(process.pid)
        }

    private fun residentMb(processes: List<LaunchedProcess>): Double =
        processes.maxOf { usage(it)?.residentKb ?: 0 } / KB_PER_MB

    private fun usage(process: LaunchedProcess): ProcessUsage? =
        if (process.isAlive) ProcessUsage.read(process.pid) else null

    private companion object {
        const val KB_PER_MB = 1_024.0
    }
}
