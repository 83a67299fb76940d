package org.chestnutloom.fakes.experiment

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.engine.CacheEventList
import org.chestnutloom.fakes.launch.processLauncher
import org.chestnutloom.fakes.load.EngineHistory
import org.chestnutloom.fakes.load.LoadAccounting
import org.chestnutloom.fakes.load.LoadOutcome
import org.chestnutloom.fakes.load.LoadResult
import org.chestnutloom.fakes.load.LoadRun
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadFault
import org.chestnutloom.fakes.workload.WorkloadFaultKind
import org.chestnutloom.time.Clock
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs every arm with the same seeds, sequentially; for each seed, all arms run before the next seed. */
internal class Experiment(
    private val workload: Workload,
    private val arms: List<Arm>,
    private val seeds: List<Long>,
    private val directory: Path,
    private val clock: Clock,
    private val onRun: (ArmRun) -> Unit,
) {
    suspend fun run(): ExperimentResult {
        val runs = seeds.flatMap { seed -> arms.map { arm -> runArm(arm, seed).also(onRun) } }
        return ExperimentResult(workload.name, seeds, arms, runs)
    }

    private suspend fun runArm(
        arm: Arm,
        seed: Long,
    ): ArmRun =
        FleetClient().use { client ->
            processLauncher(directory.resolve("logs/${workload.name}-$seed-${arm.name}")).use { launcher ->
                val fleet = ExperimentFleet(workload, seed, arm, launcher, client)
                fleet.start(clock.now().toEpochMilli())
                runMeasured(fleet, client, arm, seed)
            }
        }

    private suspend fun runMeasured(
        fleet: ExperimentFleet,
        client: FleetClient,
        arm: Arm,
        seed: Long,
    ): ArmRun {
        val meter = CostMeter(fleet, client)
        meter.start()
        val startedAt = clock.elapsed()
        val keys = fleet.keys.mapValues { it.value.bearer() }
        val load = LoadRun(workload, seed, fleet.gateways.map(GatewayNode::url), keys, clock)
        val outcome = runWithFaults(fleet, load)
        val requests = outcome.traffic.values.sumOf { it.requestCount }
        val cost = meter.cost(requests, clock.elapsed() - startedAt)
        delay(CACHE_RELEASE_TIME)
        return ArmRun(arm.name, seed, loadResult(fleet, client, outcome, seed), cost)
    }

    private suspend fun runWithFaults(
        fleet: ExperimentFleet,
        load: LoadRun,
    ): LoadOutcome =
        coroutineScope {
            workload.faults.forEach { launchFault(fleet, it) }
            val outcome = load.run()
            coroutineContext.job.cancelChildren()
            outcome
        }

    private fun CoroutineScope.launchFault(
        fleet: ExperimentFleet,
        fault: WorkloadFault,
    ) = launch {
        delay(fault.atMs.milliseconds)
        when (fault.kind) {
            WorkloadFaultKind.LOSE_TARGET -> (fleet.engines + fleet.tools).first { it.name == fault.process }.kill()
            WorkloadFaultKind.LOSE_GATEWAY ->
                fleet.gateways
                    .first { it.name == fault.process }
                    .process
                    .kill9()
        }
    }

    private suspend fun loadResult(
        fleet: ExperimentFleet,
        client: FleetClient,
        outcome: LoadOutcome,
        seed: Long,
    ): LoadResult {
        val engines = running(fleet.engines).map { historyOf(client, it) }
        val tools = running(fleet.tools).flatMap { client.requests(it.url).requests }
        val accounting = LoadAccounting(workload, seed, outcome)
        return accounting.result(engines, tools, clock.now().toEpochMilli())
    }

    /** Returns the targets that are still running; the logs of killed targets are lost. */
    private fun running(targets: List<TargetNode>): List<TargetNode> = targets.filter { it.target.isAlive }

    private suspend fun historyOf(
        client: FleetClient,
        engine: TargetNode,
    ): EngineHistory {
        val requests: List<RequestRecord> = client.requests(engine.url).requests
        val events: CacheEventList = client.read("${engine.url}/admin/cache-events")
        return EngineHistory(requests, events.events)
    }

    private companion object {
        /** Time for the engines to release the cache of the last programs. */
        val CACHE_RELEASE_TIME = 2.seconds
    }
}
