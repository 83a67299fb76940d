package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart

/**
 * Estimates which parts of prompts an engine has cached, from the requests that were sent to it.
 *
 * @property capacityTokens the capacity of the engine; the least recently used parts are evicted beyond it
 */
internal class PromptCacheEstimate(
    val capacityTokens: Long,
) {
    private val tokensByPart = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** Returns the length in tokens of the cached prefix of [prompt]. */
    fun cachedTokens(prompt: List<PromptPart>): Long {
        var cached = 0L
        for (part in prompt) {
            val cachedLength = tokensByPart[part.id] ?: break
            cached += minOf(cachedLength, part.tokens)
            if (cachedLength < part.tokens) break
        }
        return cached
    }

    /** Records that the engine processed [prompt]. */
    fun add(prompt: List<PromptPart>) {
        prompt.asReversed().forEach { put(it.id, it.tokens) }
        val leastRecentlyUsed = tokensByPart.entries.iterator()
        while (totalTokens > capacityTokens && leastRecentlyUsed.hasNext()) {
            totalTokens -= leastRecentlyUsed.next().value
            leastRecentlyUsed.remove()
        }
    }

    private fun put(
        id: String,
        tokens: Int,
    ) {
        totalTokens += tokens - (tokensByPart.put(id, tokens) ?: 0)
    }

    private companion object {
        private const val INITIAL_PARTS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
