package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.AssignmentListener
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements
import org.chestnutloom.time.Clock

/** Excludes cold targets to which this gateway may send no more requests now, also if no others remain. */
internal class ColdTargetFilter(
    private val coldTargets: ColdTargets,
    private val allotment: ColdTargetAllotment,
    private val clock: Clock,
) : TargetFilter,
    AssignmentListener {
    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        val limit = required.coldRequestsPerSecond ?: return candidates
        return candidates.filter { !coldTargets.isCold(it) || hasRoom(it, limit) }
    }

    override fun assigned(
        required: TargetRequirements,
        target: Target,
    ) {
        val limit = required.coldRequestsPerSecond ?: return
        if (!coldTargets.isCold(target)) return
        coldTargets.stateOf(target)?.bucket?.take(clock.elapsed(), allotment.rateFor(target.entry.id, limit))
    }

    override fun withdrawn(target: Target) {
        if (coldTargets.isCold(target)) coldTargets.stateOf(target)?.bucket?.giveBack()
    }

    private fun hasRoom(
        target: Target,
        limit: Double,
    ): Boolean {
        val bucket = coldTargets.stateOf(target)?.bucket ?: return false
        return bucket.hasRoom(clock.elapsed(), allotment.rateFor(target.entry.id, limit))
    }
}
