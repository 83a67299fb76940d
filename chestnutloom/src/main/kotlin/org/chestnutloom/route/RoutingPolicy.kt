package org.chestnutloom.route

import kotlin.random.Random

/** Chooses a target for each call. */
public fun interface RoutingPolicy {
    /** Returns the target for [query] out of [candidates], or null if there are none. */
    public fun choose(
        query: RouteQuery,
        candidates: List<TargetView>,
    ): TargetView?
}

/** Returns the policy of [kind]; [random] breaks ties between equal targets. */
public fun routingPolicy(
    kind: RoutingPolicyKind,
    random: Random = Random.Default,
): RoutingPolicy =
    when (kind) {
        RoutingPolicyKind.COST -> CostPolicy(random)
        RoutingPolicyKind.LEAST_LOADED -> LeastLoadedPolicy(random)
        RoutingPolicyKind.RANDOM -> RoutingPolicy { _, candidates -> candidates.randomOrNull(random) }
    }
