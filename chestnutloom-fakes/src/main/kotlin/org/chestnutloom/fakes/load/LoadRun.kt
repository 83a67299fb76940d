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
 * Sends one workload to gateways.
 *
 * @property gateways base URLs
 * @property keys a bearer token for each client account
 */
internal class LoadRun(
    private val workload: Workload,
    private val seed: Long,
    private val gateways: List<String>,
    private val keys: Map<String, String>,
    private val clock: Clock,
) {
    private val ends = ConcurrentHashMap<String, ProgramEnd>()
    private val ids = ConcurrentHashMap<String, String>()
    private val traffic =
        workload.accounts.associate { it.name to AccountTraffic(it.ratePerSecond, it.burst, clock) }

    /** Runs every program that the seed draws, each from its own arrival on, and returns what they met. */
    suspend fun run(): LoadOutcome {
        val plans = ProgramPlanner(workload, seed).plan()
        val startedAt = clock.elapsed()
        LoadClient(gateways).use { client ->
            val runners = workload.accounts.associate { it.name to runner(client, it.name) }
            coroutineScope {
                plans.forEach { plan ->
                    launch {
                        delay(startedAt + plan.arrival - clock.elapsed())
                        ends[plan.name] = play(plan, runners.getValue(plan.account), startedAt + plan.arrival)
                    }
                }
            }
        }
        return LoadOutcome(plans, ends.toMap(), ids.toMap(), traffic)
    }

    private fun runner(
        client: LoadClient,
        account: String,
    ): ProgramRunner =
        ProgramRunner(client, keys.getValue(account), traffic.getValue(account), MODEL, SERVICE) { plan, id ->
            ids[plan.name] = id
        }

    private suspend fun play(
        plan: ProgramPlan,
        runner: ProgramRunner,
        arrivedAt: Duration,
    ): ProgramEnd {
        val deadline = workload.deadlineMs.milliseconds
        val failure =
            try {
                val ended = withTimeoutOrNull(deadline - (clock.elapsed() - arrivedAt)) { runner.run(plan) }
                if (ended == null) DEADLINE else null
            } catch (failed: ProgramFailedException) {
                failed.reason
            }
        val latency = if (failure == null) clock.elapsed() - arrivedAt else deadline
        return ProgramEnd(plan.account, ids[plan.name], latency, clock.now().toEpochMilli(), failure)
    }

    companion object {
        /** The model that every workload calls. */
        const val MODEL: String = "rattan-8b"

        /** The plain service that every workload calls. */
        const val SERVICE: String = "cane-payments"

        /** The failure of programs that did not end in time. */
        const val DEADLINE: String = "deadline"
    }
}
