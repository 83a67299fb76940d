package org.chestnutloom.edge.target

import org.chestnutloom.route.RoutingPolicy

/**
 * The decisions of a [TargetScheduler].
 *
 * @property filters applied in order to the targets of a service that accept requests
 * @property finalChecks filters that a target must pass once more before it gets a request that waited
 * @property preferences filters applied in order to those of the remaining targets that have a free slot
 * @property queueOrder the order in which queued requests get slots; never equal for different requests
 * @property queueObserver ranks the queued requests before each use of [queueOrder]
 * @property isQueuedAtPlainTargets whether targets without an engine get a request more than they have slots
 */
internal data class SchedulingPolicy(
    val routing: RoutingPolicy,
    val filters: List<TargetFilter>,
    val costs: RequestCosts,
    val admission: ProgramAdmission,
    val queueOrder: Comparator<QueuedRequest>,
    val finalChecks: List<TargetFilter> = emptyList(),
    val preferences: List<TargetFilter> = emptyList(),
    val listeners: List<AssignmentListener> = emptyList(),
    val queueObserver: QueueObserver = ArrivalOrder,
    val isQueuedAtPlainTargets: Boolean = true,
)
