package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.call.AttemptResult
import org.chestnutloom.edge.call.RoutedCall
import org.chestnutloom.edge.config.RouteKind

/** Passes the attempts of calls on to [learner]; failed and refused ones give no samples. */
internal class CostLearningListener(
    private val learner: CostLearner,
) : AttemptListener {
    override fun started(
        call: RoutedCall,
        target: Target,
    ) {
        learner.started(call, traitsOf(call), target)
    }

    override fun responseBegun(
        call: RoutedCall,
        target: Target,
    ) {
        learner.responseBegun(call)
    }

    override fun ended(
        call: RoutedCall,
        target: Target,
        result: AttemptResult?,
    ) {
        val events = sampledEvents(result, isStream = call.route.kind == RouteKind.STREAMING)
        if (events == null) return learner.failed(call)
        learner.completed(call, events, call.service.engine?.tokensPerEvent ?: 1)
    }
}

/**
 * Returns the number of events of a response that shows the speed of its target, or null for any other [result].
 *
 * A failure or refusal can be fast, which says nothing about how fast the target serves requests.
 */
internal fun sampledEvents(
    result: AttemptResult?,
    isStream: Boolean,
): Int? {
    if (result !is AttemptResult.Responded || !result.isComplete || result.status !in SUCCESS_STATUSES) return null
    return result.eventCount.takeIf { it > 0 || !isStream }
}

private val SUCCESS_STATUSES = 200..299
