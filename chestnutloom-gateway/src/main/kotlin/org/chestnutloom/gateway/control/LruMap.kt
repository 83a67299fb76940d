package org.chestnutloom.gateway.control

/** A map that evicts the least recently used entry when it exceeds [maxEntries]. */
internal class LruMap<K, V>(
    private val maxEntries: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxEntries

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
