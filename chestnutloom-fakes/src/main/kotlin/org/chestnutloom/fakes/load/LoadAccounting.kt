package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.fakes.workload.ProgramPlan
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadAccount

/** Computes the result of a run from the outcomes of the programs and the request logs of the targets. */
internal class LoadAccounting(
    private val workload: Workload,
    private val seed: Long,
    private val outcome: LoadOutcome,
) {
    fun result(
        engines: List<EngineHistory>,
        toolRequests: List<RequestRecord>,
        untilMs: Long,
    ): LoadResult {
        val accounts = accountResults()
        val inside = accounts.filter(AccountResult::insideRate)
        val p95s = inside.map { it.latency.p95Ms }.sorted()
        return LoadResult(
            workload = workload.name,
            seed = seed,
            latency = LatencySummary.of(outcomesOf(inside.map(AccountResult::name)).map(ProgramOutcome::latency)),
            worstP95Ms = p95s.lastOrNull() ?: 0,
            medianP95Ms = p95s.getOrNull(p95s.size / 2) ?: 0,
            worstShareRatio = inside.minOfOrNull(AccountResult::shareRatio) ?: 1.0,
            requests = accounts.sumOf(AccountResult::requests),
            requestsInsideRate = inside.sumOf(AccountResult::requestsInsideRate),
            wrongfulRefusals = inside.sumOf { it.wrongfulRefusals.values.sum() },
            wrongAnswers = accounts.sumOf(AccountResult::wrongAnswers),
            duplicateEffects = duplicateEffects(toolRequests),
            cache = CacheAccounting(engines, endTimesMs(), untilMs).waste(),
            accounts = accounts,
        )
    }

    private fun accountResults(): List<AccountResult> {
        val served = outcome.traffic.mapValues { it.value.modelTurnCount.toDouble() }
        val fair = fairShares(demands(), workload.accounts.associate { it.name to it.weight }, served.values.sum())
        return workload.accounts.map { accountResult(it, fair.getValue(it.name)) }
    }

    private fun accountResult(
        account: WorkloadAccount,
        fairModelTurns: Double,
    ): AccountResult {
        val traffic = outcome.traffic.getValue(account.name)
        val outcomes = outcomesOf(listOf(account.name))
        return AccountResult(
            name = account.name,
            insideRate = account.overload <= 1.0,
            programs = outcomes.size,
            failures = outcomes.mapNotNull(ProgramOutcome::failure).groupingBy { it }.eachCount(),
            latency = LatencySummary.of(outcomes.map(ProgramOutcome::latency)),
            modelTurns = traffic.modelTurnCount,
            fairModelTurns = fairModelTurns,
            requests = traffic.requestCount,
            requestsInsideRate = traffic.insideRateCount,
            refusals = traffic.refusalsByCode,
            wrongfulRefusals = traffic.wrongfulRefusalsByCode,
            brokenConnections = traffic.failedCount,
            wrongAnswers = traffic.wrongAnswerCount,
        )
    }

    private fun outcomesOf(accounts: List<String>): List<ProgramOutcome> =
        outcome.programs.values.filter { it.account in accounts }

    private fun demands(): Map<String, Double> =
        workload.accounts.associate { account ->
            val turns = outcome.plans.filter { it.account == account.name }.sumOf(ProgramPlan::modelTurns)
            val allowed = account.ratePerSecond * workload.arrivalsMs / MS_PER_SECOND + account.burst
            account.name to minOf(turns.toDouble(), allowed)
        }

    /**
     * Returns when each program ended.
     *
     * A sub-agent counts as ended when its root program ended; its id up to the first dot is that of the root.
     */
    private fun endTimesMs(): Map<String, Long> {
        val roots =
            outcome.programs.values
                .mapNotNull { program -> program.id?.let { it to program.endedAtMs } }
                .toMap()
        return outcome.programIds.values
            .mapNotNull { id -> roots[id.substringBefore('.')]?.let { id to it } }
            .toMap()
    }

    /** Counts the effects that ran more than once; each tool turn has its own body, so bodies identify effects. */
    private fun duplicateEffects(requests: List<RequestRecord>): Int =
        requests
            .filter { it.startedAtMs != null }
            .groupingBy(RequestRecord::body)
            .eachCount()
            .count { it.value > 1 }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
