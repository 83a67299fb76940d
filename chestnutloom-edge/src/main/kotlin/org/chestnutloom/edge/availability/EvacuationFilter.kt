package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements

/** Excludes the targets of evacuated failure domains, also if no others remain. */
internal class EvacuationFilter(
    private val evacuations: Evacuations,
) : TargetFilter {
    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        if (evacuations.count == 0) return candidates
        return candidates.filterNot { evacuations.isEvacuated(it.entry.failureDomain) }
    }
}
