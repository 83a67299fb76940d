package org.chestnutloom.route

import kotlin.random.Random

/** Chooses a target for each call. */
public fun interface RoutingPolicy {
    /** Returns the target for [query] out of [candidates], or null when there is none. */
    public fun choose(
        query: RouteQuery,
        candidates: List<TargetView>,
    ): TargetView?
}

/** Returns the policy called [kind]; [random] decides between equal targets. */
public fun routingPolicy(
    kind: RoutingPolicyKind,
    random: Random = Random.Default,
): RoutingPolicy =
    when (kind) {
        RoutingPolicyKind.COST -> CostPolicy(random)
        RoutingPolicyKind.LEAST_LOADED -> LeastLoadedPolicy(random)
        RoutingPolicyKind.RANDOM -> RoutingPolicy { _, candidates -> candidates.randomOrNull(random) }
    }
