package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.fakes.workload.ProgramPlan
import org.chestnutloom.fakes.workload.Workload
import org.chestnutloom.fakes.workload.WorkloadAccount

/** Works out the result of a run from what the programs and the targets saw. */
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
            latency = LatencySummary.of(endsOf(inside.map(AccountResult::name)).map(ProgramEnd::latency)),
            worstP95Ms = p95s.lastOrNull() ?: 0,
            medianP95Ms = p95s.getOrNull(p95s.size / 2) ?: 0,
            worstShareRatio = inside.minOfOrNull(AccountResult::shareRatio) ?: 1.0,
            requests = accounts.sumOf(AccountResult::requests),
            requestsInsideRate = inside.sumOf(AccountResult::requestsInsideRate),
            wrongfulRefusals = inside.sumOf { it.wrongfulRefusals.values.sum() },
            wrongAnswers = accounts.sumOf(AccountResult::wrongAnswers),
            duplicateEffects = duplicateEffects(toolRequests),
            cache = CacheAccounting(engines, goneAtMs(), untilMs).waste(),
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
        val ends = endsOf(listOf(account.name))
        return AccountResult(
            name = account.name,
            insideRate = account.overload <= 1.0,
            programs = ends.size,
            failures = ends.mapNotNull(ProgramEnd::failure).groupingBy { it }.eachCount(),
            latency = LatencySummary.of(ends.map(ProgramEnd::latency)),
            modelTurns = traffic.modelTurnCount,
            fairModelTurns = fairModelTurns,
            requests = traffic.requestCount,
            requestsInsideRate = traffic.insideRateCount,
            refusals = traffic.refusalsByCode,
            wrongfulRefusals = traffic.wrongfulRefusalsByCode,
            brokenConnections = traffic.brokenCount,
            wrongAnswers = traffic.wrongAnswerCount,
        )
    }

    private fun endsOf(accounts: List<String>): List<ProgramEnd> = outcome.ends.values.filter { it.account in accounts }

    private fun demands(): Map<String, Double> =
        workload.accounts.associate { account ->
            val turns = outcome.plans.filter { it.account == account.name }.sumOf(ProgramPlan::modelTurns)
            val allowed = account.ratePerSecond * workload.arrivalsMs / MS_PER_SECOND + account.burst
            account.name to minOf(turns.toDouble(), allowed)
        }

    /** Returns when the programs were gone, sub-agents with their root program. */
    private fun goneAtMs(): Map<String, Long> {
        val roots =
            outcome.ends.values
                .mapNotNull { end -> end.id?.let { it to end.endedAtMs } }
                .toMap()
        return outcome.ids.values
            .mapNotNull { id -> roots[id.substringBefore('.')]?.let { id to it } }
            .toMap()
    }

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
