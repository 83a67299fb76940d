package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements
import kotlin.random.Random

/**
 * Gives the targets of a failure domain that returns from an evacuation a growing part of the requests.
 *
 * A draw for each request limits the part under light load. Under heavy load requests are drawn repeatedly while they
 * wait, so the slots in use are limited as well. If no other target remains, the returning ones take all requests.
 */
internal class EvacuationReturnFilter(
    private val evacuations: Evacuations,
    private val random: Random,
) : TargetFilter {
    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        if (!evacuations.isAnyInEffect) return candidates
        val draw = random.nextDouble()
        return candidates.filter { accepts(it, draw) }.ifEmpty { candidates }
    }

    private fun accepts(
        target: Target,
        draw: Double,
    ): Boolean {
        val share = evacuations.shareOf(target.entry.failureDomain)
        return share >= 1.0 || (draw < share && target.load < target.entry.slots * share)
    }
}
