package org.chestnutloom.route

import kotlin.random.Random

/** Chooses the target with the fewest calls in flight relative to its concurrency limit. */
internal class LeastLoadedPolicy(
    private val random: Random,
) : RoutingPolicy {
    override fun choose(
        query: RouteQuery,
        candidates: List<TargetView>,
    ): TargetView? {
        val least = candidates.minOfOrNull(::load) ?: return null
        return candidates.filter { load(it) == least }.random(random)
    }

    private fun load(target: TargetView): Double =
        (target.callsInFlight + target.sentSinceReport).toDouble() / target.maxRunningCalls.coerceAtLeast(1)
}
