package org.chestnutloom.edge.target

import org.chestnutloom.route.RoutingPolicy

/** Returns the policy that assumes equal targets, applies [filters], and queues requests by priority and arrival. */
internal fun constantCostPolicy(
    routing: RoutingPolicy,
    filters: List<TargetFilter> = emptyList(),
): SchedulingPolicy =
    SchedulingPolicy(
        routing = routing,
        filters = filters,
        costs = ConstantRequestCosts,
        admission = FreeSlotAdmission,
        queueOrder = compareBy({ it.requirements.priority }, { it.arrival }),
    )
