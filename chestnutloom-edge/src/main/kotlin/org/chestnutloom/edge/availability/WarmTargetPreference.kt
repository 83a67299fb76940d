package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements

/** Prefers warm targets for urgent requests, which a slow target affects most. */
internal class WarmTargetPreference(
    private val coldTargets: ColdTargets,
) : TargetFilter {
    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        if (required.coldRequestsPerSecond == null || required.priority != URGENT) return candidates
        return candidates.filterNot(coldTargets::isCold).ifEmpty { candidates }
    }

    private companion object {
        private const val URGENT = 0
    }
}
