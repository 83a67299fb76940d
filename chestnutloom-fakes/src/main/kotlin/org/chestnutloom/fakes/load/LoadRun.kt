package org.chestnutloom.fakes.load

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.fakes.workload.ProgramPlan
import org.chestnutloom.fakes.workload.ProgramPlanner
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs one workload against gateways.
 *
 * @property gateways base URLs
 * @property keys the bearer token of each client account
 */
internal class LoadRun(
    private val workload: Workload,
    private val seed: Long,
    private val gateways: List<String>,
    private val keys: Map<String, String>,
    private val clock: Clock,
) {
    private val programs = ConcurrentHashMap<String, ProgramOutcome>()
    private val programIds = ConcurrentHashMap<String, String>()
    private val traffic =
        workload.accounts.associate { it.name to AccountTraffic(it.ratePerSecond, it.burst, clock) }

    /** Runs every program generated from the seed, each from its arrival time on, and returns their outcomes. */
    suspend fun run(): LoadOutcome {
        val plans = ProgramPlanner(workload, seed).plan()
        val startedAt = clock.elapsed()
        LoadClient(gateways).use { client ->
            val runners = workload.accounts.associate { it.name to runner(client, it.name) }
            coroutineScope {
                plans.forEach { plan ->
                    launch {
                        delay(startedAt + plan.arrival - clock.elapsed())
                        programs[plan.name] = runProgram(plan, runners.getValue(plan.account), startedAt + plan.arrival)
                    }
                }
            }
        }
        return LoadOutcome(plans, programs.toMap(), programIds.toMap(), traffic)
    }

    private fun runner(
        client: LoadClient,
        account: String,
    ): ProgramRunner =
        ProgramRunner(client, keys.getValue(account), traffic.getValue(account), MODEL, SERVICE) { plan, id ->
            programIds[plan.name] = id
        }

    private suspend fun runProgram(
        plan: ProgramPlan,
        runner: ProgramRunner,
        arrivedAt: Duration,
    ): ProgramOutcome {
        val deadline = workload.deadlineMs.milliseconds
        val failure =
            try {
                val completed = withTimeoutOrNull(deadline - (clock.elapsed() - arrivedAt)) { runner.run(plan) }
                if (completed == null) DEADLINE else null
            } catch (failed: ProgramFailedException) {
                failed.reason
            }
        val latency = if (failure == null) clock.elapsed() - arrivedAt else deadline
        return ProgramOutcome(plan.account, programIds[plan.name], latency, clock.now().toEpochMilli(), failure)
    }

    companion object {
        /** The model that every workload calls. */
        const val MODEL: String = "rattan-8b"

        /** The tool service that every workload calls. */
        const val SERVICE: String = "cane-payments"

        /** The failure of programs that missed the deadline. */
        const val DEADLINE: String = "deadline"
    }
}
