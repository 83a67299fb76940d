package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.AssignmentListener
import org.chestnutloom.edge.target.RequestCosts
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements
import org.chestnutloom.membership.hash64
import org.chestnutloom.time.Clock
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Prefers for the requests of one affinity key the target that ranks highest by rendezvous hashing, weighted by slots,
 * and whose load is near the mean.
 *
 * All gateways rank the targets alike without messages. The loss of a target moves only its own keys, and they move
 * back when it returns. A key with more requests than one target should run uses several targets of its ranking.
 */
internal class AffinityPreference(
    private val costs: RequestCosts,
    clock: Clock,
) : TargetFilter,
    AssignmentListener {
    private val rates = KeyRates(clock)

    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        val key = required.affinityKey ?: return candidates
        if (candidates.size < 2) return candidates
        val allowed = withinBound(candidates).ifEmpty { return candidates }
        val spread = spreadOf(key, required, allowed.first().entry.slots)
        if (spread == 1) return listOf(allowed.maxBy { scoreOf(key, it) })
        val ranked = allowed.sortedByDescending { scoreOf(key, it) }.take(spread)
        return listOf(ranked.minBy { it.load.toDouble() / it.entry.slots })
    }

    override fun assigned(
        required: TargetRequirements,
        target: Target,
    ) {
        required.affinityKey?.let(rates::record)
    }

    private fun withinBound(candidates: List<Target>): List<Target> {
        val slots = candidates.sumOf { it.entry.slots }
        val meanLoad = (candidates.sumOf { it.load } + 1).toDouble() / slots
        val loadLimit = maxOf(meanLoad * MAX_LOAD_FACTOR, IDLE_LOAD)
        return candidates.filter { it.load + 1 <= ceil(loadLimit * it.entry.slots) }
    }

    /** Returns over how many targets the requests of [key] are spread. */
    private fun spreadOf(
        key: String,
        required: TargetRequirements,
        slots: Int,
    ): Int {
        val requestsInProgress = rates.perSecond(key) * costs.serviceTimeMs(required) / MS_PER_SECOND
        return 1 + (requestsInProgress / (slots * MAX_KEY_LOAD)).toInt()
    }

    /** Returns the score of [target] by weighted rendezvous hashing, where weights are slots. */
    private fun scoreOf(
        key: String,
        target: Target,
    ): Double {
        val hash = hash64("$key/${target.entry.id.value}") ushr UNUSED_BITS
        return target.entry.slots / -ln((hash + 1) / HASH_RANGE)
    }

    private companion object {
        /** Loads above the mean by more than this delay requests by more than a recent object saves. */
        private const val MAX_LOAD_FACTOR = 1.25

        /**
         * The fraction of slots in use up to which the mean does not matter. The other slots are for requests that other
         * gateways send before their loads are known here, so that these do not wait at the target.
         */
        private const val IDLE_LOAD = 0.75

        /** The fraction of a target's slots that one key uses before its requests are spread further. */
        private const val MAX_KEY_LOAD = 0.5
        private const val MS_PER_SECOND = 1_000.0

        /** A double has 53 significant bits. */
        private const val UNUSED_BITS = 11
        private const val HASH_RANGE = 9_007_199_254_740_993.0
    }
}
