package org.chestnutloom.edge.target

import io.micrometer.core.instrument.MeterRegistry
import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.time.Clock

/**
 * Scheduling with learned costs.
 *
 * @property listener learns from the attempts of calls
 */
internal class LearnedScheduling(
    private val costs: RequestCosts,
    val listener: AttemptListener,
) {
    /** Returns [policy] with the learned costs. */
    fun applyTo(policy: SchedulingPolicy): SchedulingPolicy = policy.copy(costs = costs)
}

/** Returns scheduling that learns the speed of the targets of [directory] and the costs of requests. */
internal fun learnedScheduling(
    directory: TargetDirectory,
    clock: Clock,
    registry: MeterRegistry,
): LearnedScheduling {
    val metrics = CostMetrics(registry, clock)
    val costs = LearnedRequestCosts(directory, clock, metrics::registerService)
    return LearnedScheduling(costs, CostLearningListener(CostLearner(costs, metrics, clock)))
}
