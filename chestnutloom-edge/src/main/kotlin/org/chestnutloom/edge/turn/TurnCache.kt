package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId

/** The turns used last, up to [maxBytes] of them. */
internal class TurnCache(
    private val maxBytes: Long,
) {
    private val records = LinkedHashMap<CallId, TurnRecord>(INITIAL_RECORDS, LOAD_FACTOR, true)
    private var heldBytes = 0L

    fun get(id: CallId): TurnRecord? = records[id]

    fun put(record: TurnRecord) {
        heldBytes += record.sizeBytes - (records.put(record.id, record)?.sizeBytes ?: 0)
        val oldest = records.entries.iterator()
        while (heldBytes > maxBytes && oldest.hasNext()) {
            heldBytes -= oldest.next().value.sizeBytes
            oldest.remove()
        }
    }

    private companion object {
        private const val INITIAL_RECORDS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
