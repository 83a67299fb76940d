package org.chestnutloom.fakes.engine

/**
 * A prefix cache of limited size that holds one prompt for each program and evicts the least recently used.
 *
 * @property onChange is told of each entry that is stored or removed
 */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val onChange: (String, Long, CacheEventKind) -> Unit,
) {
    private val lock = Any()
    private val entries = LinkedHashMap<String, String>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var heldTokens = 0L

    /** Returns how many tokens of [prompt] the program's entry holds. */
    fun lookup(
        program: String,
        prompt: String,
    ): Long =
        synchronized(lock) {
            val held = entries[program] ?: return 0
            tokenCount(held.commonPrefixWith(prompt).length)
        }

    /** Stores [text] as the program's entry if it fits, after evicting others. */
    fun store(
        program: String,
        text: String,
    ): Boolean =
        synchronized(lock) {
            val tokens = tokenCount(text.length)
            if (tokens > capacityTokens) return false
            entries.remove(program)?.let { heldTokens -= tokenCount(it.length) }
            evictUntilFree(tokens)
            entries[program] = text
            heldTokens += tokens
            onChange(program, tokens, CacheEventKind.STORED)
            true
        }

    /** Frees the program's entry. */
    fun release(program: String) {
        synchronized(lock) {
            if (program in entries) evict(program)
        }
    }

    /** Returns the program's entry, or null. */
    fun textOf(program: String): String? = synchronized(lock) { entries[program] }

    /** Returns the tokens held for each program. */
    fun held(): Map<String, Long> = synchronized(lock) { entries.mapValues { tokenCount(it.value.length) } }

    fun heldTokens(): Long = synchronized(lock) { heldTokens }

    private fun evictUntilFree(tokens: Long) {
        while (heldTokens + tokens > capacityTokens) {
            evict(entries.keys.first())
        }
    }

    private fun evict(program: String) {
        val text = entries.remove(program) ?: return
        val tokens = tokenCount(text.length)
        heldTokens -= tokens
        onChange(program, tokens, CacheEventKind.EVICTED)
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
