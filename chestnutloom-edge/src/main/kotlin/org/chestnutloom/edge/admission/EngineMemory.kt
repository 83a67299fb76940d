package org.chestnutloom.edge.admission

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetRequirements

/**
 * Estimates whether the engines have memory for a further request.
 *
 * An engine holds a shared prefix once, and the rest of each prompt and its output separately. Requests of other
 * gateways are assumed to be like those of this one.
 */
internal class EngineMemory {
    private val sharedTokens = DecayingMean(0.0)
    private val ownTokens = DecayingMean(0.0)
    private val prefixTokens =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Int>?): Boolean = size > MAX_PREFIXES
        }

    /**
     * Records a request that is sent to an engine that caches [capacityTokens].
     *
     * Lengths are what the caller says, so that no request counts for more than an engine can hold.
     */
    fun record(
        required: TargetRequirements,
        capacityTokens: Long,
    ) {
        if (required.prompt.isEmpty()) return
        sharedTokens.add(sharedOf(required).coerceIn(0, capacityTokens).toDouble())
        ownTokens.add(ownOf(required).coerceIn(0, capacityTokens).toDouble())
        if (required.prompt.size > 1) prefixTokens[required.prompt.first().id] = required.prompt.first().tokens
    }

    /** Returns whether the engines of [usable] have memory for a request with [required]. */
    fun hasRoom(
        required: TargetRequirements,
        usable: List<Target>,
    ): Boolean {
        if (required.prompt.isEmpty()) return true
        val allPrefixes = prefixTokens.values.sumOf { it.toDouble() }
        val used = usable.sumOf { minOf(allPrefixes, it.load * sharedTokens.value) + it.load * ownTokens.value }
        return used + sharedOf(required) + ownOf(required) <= usable.sumOf { it.cache.capacityTokens.toDouble() }
    }

    private fun sharedOf(required: TargetRequirements): Long =
        if (required.prompt.size > 1) {
            required.prompt
                .first()
                .tokens
                .toLong()
        } else {
            0L
        }

    private fun ownOf(required: TargetRequirements): Long =
        required.prompt.sumOf { it.tokens.toLong() } - sharedOf(required) + required.maxOutputTokens

    private companion object {
        private const val MAX_PREFIXES = 64
    }
}
