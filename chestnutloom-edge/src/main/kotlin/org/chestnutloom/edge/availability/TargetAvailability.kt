package org.chestnutloom.edge.availability

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.target.SchedulingPolicy
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import kotlin.random.Random

/**
 * Limits on the use of targets that operators and targets set, whatever policy selects among them.
 *
 * Has to be created before the scheduler, so that changes of [directory] reach it first.
 */
internal class TargetAvailability(
    directory: TargetDirectory,
    self: GatewayId,
    isIsolated: () -> Boolean,
    private val clock: Clock,
    random: Random,
) {
    val evacuations: Evacuations = Evacuations(clock)
    val membership: RecentMembership = RecentMembership(self, clock)
    val coldTargets: ColdTargets = ColdTargets(directory, clock)

    private val evacuationFilter = EvacuationFilter(evacuations)
    private val returnFilter = EvacuationReturnFilter(evacuations, random)
    private val coldFilter = ColdTargetFilter(coldTargets, ColdTargetAllotment(membership, isIsolated), clock)

    /** The listeners through which these limits learn of attempts. */
    val attemptListeners: List<AttemptListener> = listOf(ColdAttemptListener(coldFilter))

    /** Returns [policy] within these limits, which come before its own filters. */
    fun applyTo(policy: SchedulingPolicy): SchedulingPolicy {
        val affinity = AffinityPreference(policy.costs, clock)
        return policy.copy(
            // Last, so that the share of returning targets is one of those that the other filters leave.
            filters = listOf(evacuationFilter, coldFilter) + policy.filters + returnFilter,
            finalChecks = listOf(evacuationFilter) + policy.finalChecks,
            preferences = listOf(WarmTargetPreference(coldTargets), affinity) + policy.preferences,
            listeners = listOf(coldFilter, affinity) + policy.listeners,
        )
    }
}
