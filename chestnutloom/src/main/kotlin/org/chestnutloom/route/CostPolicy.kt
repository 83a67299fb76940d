package org.chestnutloom.route

import kotlin.random.Random

/**
 * Chooses the target with the lowest expected time to first token.
 *
 * The expected time is the wait in the target's queue plus the prefill time of the prompt tokens that the target has
 * not cached. Among targets with nearly equal times, those in the gateway's failure domain are preferred, then those
 * with the fewest calls in flight.
 */
internal class CostPolicy(
    private val random: Random,
) : RoutingPolicy {
    override fun choose(
        query: RouteQuery,
        candidates: List<TargetView>,
    ): TargetView? {
        val costs = candidates.associateWith { costMs(query, it) }
        val least = costs.values.minOrNull() ?: return null
        val limit = least + maxOf(TIE_MS, least * TIE_RATIO)
        val nearlyEqual = costs.filterValues { it <= limit }.keys
        val local = nearlyEqual.filter { it.failureDomain == query.failureDomain }.ifEmpty { nearlyEqual }
        return leastBusy(local)
    }

    private fun leastBusy(targets: Collection<TargetView>): TargetView {
        val fewest = targets.minOf(::callsInFlight)
        return targets.filter { callsInFlight(it) == fewest }.random(random)
    }

    private fun costMs(
        query: RouteQuery,
        target: TargetView,
    ): Double {
        val uncached = (query.promptTokens - target.cachedTokens).coerceAtLeast(0)
        return waitMs(target) + prefillMs(target, uncached)
    }

    /** Returns the reported wait plus an estimate for the calls sent since, which the report does not include. */
    private fun waitMs(target: TargetView): Double {
        val reported = target.expectedWaitMs.toDouble()
        if (target.sentSinceReport == 0) return reported
        val excess = callsInFlight(target) - target.maxRunningCalls
        val queueing = excess.coerceIn(0, target.sentSinceReport) * ASSUMED_MS_PER_QUEUED_CALL
        return reported + queueing + prefillMs(target, target.tokensSentSinceReport)
    }

    private fun prefillMs(
        target: TargetView,
        tokens: Long,
    ): Double {
        val tokensPerSecond = target.prefillTokensPerSecond.takeIf { it > 0 } ?: ASSUMED_PREFILL_TOKENS_PER_SECOND
        return tokens * MS_PER_SECOND / tokensPerSecond
    }

    private fun callsInFlight(target: TargetView): Int = target.callsInFlight + target.sentSinceReport

    private companion object {
        /** Expected times within this difference, or [TIE_RATIO] of the lowest if that is more, are nearly equal. */
        const val TIE_MS = 2.0
        const val TIE_RATIO = 0.05
        const val ASSUMED_MS_PER_QUEUED_CALL = 50.0

        /** The prefill rate of a target that reports none. */
        const val ASSUMED_PREFILL_TOKENS_PER_SECOND = 8_000.0
        const val MS_PER_SECOND = 1_000.0
    }
}
