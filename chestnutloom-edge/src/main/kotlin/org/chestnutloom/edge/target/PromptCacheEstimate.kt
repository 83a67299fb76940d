package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart

/**
 * An estimate of the prompt parts that a target's engine keeps, from the requests that were sent there.
 *
 * @property capacityTokens tokens that the engine holds; the parts used least recently are dropped beyond it
 */
internal class PromptCacheEstimate(
    private val capacityTokens: Long,
) {
    private val tokensByPart = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var heldTokens = 0L

    /** Returns the tokens at the start of [prompt] that need not be read again. */
    fun cachedTokens(prompt: List<PromptPart>): Long {
        var cached = 0L
        for (part in prompt) {
            val held = tokensByPart[part.id] ?: break
            cached += minOf(held, part.tokens)
            if (held < part.tokens) break
        }
        return cached
    }

    /** Notes that the engine read [prompt]. */
    fun add(prompt: List<PromptPart>) {
        prompt.asReversed().forEach { put(it.id, it.tokens) }
        val oldest = tokensByPart.entries.iterator()
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().value
            oldest.remove()
        }
    }

    private fun put(
        id: String,
        tokens: Int,
    ) {
        heldTokens += tokens - (tokensByPart.put(id, tokens) ?: 0)
    }

    private companion object {
        private const val INITIAL_PARTS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
