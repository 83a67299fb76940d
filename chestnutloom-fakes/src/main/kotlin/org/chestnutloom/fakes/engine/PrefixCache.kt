package org.chestnutloom.fakes.engine

/**
 * A prefix cache of limited size with one prompt per program and LRU eviction.
 *
 * @property onChange called with the program and the token count of each entry that is stored or evicted
 */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val onChange: (String, Long, CacheEventKind) -> Unit,
) {
    private val lock = Any()
    private val entries = LinkedHashMap<String, String>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var heldTokens = 0L

    /** Returns the length of the longest common prefix of [prompt] and the program's entry, in tokens. */
    fun lookup(
        program: String,
        prompt: String,
    ): Long =
        synchronized(lock) {
            val entry = entries[program] ?: return 0
            tokenCount(entry.commonPrefixWith(prompt).length)
        }

    /** Stores [text] as the program's entry, evicting others as needed. Returns false if it exceeds the capacity. */
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

    /** Removes the program's entry. */
    fun release(program: String) {
        synchronized(lock) {
            if (program in entries) evict(program)
        }
    }

    /** Returns the text of the program's entry, or null if it has none. */
    fun textOf(program: String): String? = synchronized(lock) { entries[program] }

    /** Returns the number of cached tokens of each program. */
    fun tokensByProgram(): Map<String, Long> = synchronized(lock) { entries.mapValues { tokenCount(it.value.length) } }

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
