package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId

/** An LRU cache of turns with a total size of at most [maxBytes]. */
internal class TurnCache(
    private val maxBytes: Long,
) {
    private val records = LinkedHashMap<CallId, TurnRecord>(INITIAL_RECORDS, LOAD_FACTOR, true)
    private var totalBytes = 0L

    fun get(id: CallId): TurnRecord? = records[id]

    fun put(record: TurnRecord) {
        totalBytes += record.sizeBytes - (records.put(record.id, record)?.sizeBytes ?: 0)
        val leastRecentlyUsed = records.entries.iterator()
        while (totalBytes > maxBytes && leastRecentlyUsed.hasNext()) {
            totalBytes -= leastRecentlyUsed.next().value.sizeBytes
            leastRecentlyUsed.remove()
        }
    }

    private companion object {
        private const val INITIAL_RECORDS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
