package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.load.LoadRun
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadAccount

/** Generates the environment document of a workload. */
internal object EnvironmentDocument {
    private const val TOOL_MAX_RUNNING = 16

    fun of(workload: Workload): String {
        val fleet = workload.fleet
        val tools = (1..fleet.tools).map { "tool-$it" }
        val engines = (1..fleet.engines).map { "engine-$it" }
        return """
            accounts {
            ${workload.accounts.joinToString("\n", transform = ::account)}
            }
            models { ${LoadRun.MODEL} { context_tokens = 470000, max_completion_tokens = 512 } }
            services { ${LoadRun.SERVICE} { targets = [${tools.joinToString()}], idempotent = false } }
            targets {
            ${engines.joinToString("\n") { engine(it, fleet.maxRunning) }}
            ${tools.joinToString("\n") { "$it { kind = tool, max_running = $TOOL_MAX_RUNNING }" }}
            }
            limits { queue_timeout_ms = 20000 }
            """.trimIndent()
    }

    private fun account(account: WorkloadAccount): String {
        val limits = "rate_per_second = ${account.ratePerSecond}, burst = ${account.burst}"
        return "\"${account.name}\" { $limits, weight = ${account.weight} }"
    }

    private fun engine(
        name: String,
        maxRunning: Int,
    ): String = "$name { kind = model, models = [${LoadRun.MODEL}], max_running = $maxRunning, verifies_orders = true }"
}
