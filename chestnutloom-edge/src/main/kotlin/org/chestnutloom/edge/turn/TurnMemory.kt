package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId
import java.util.IdentityHashMap

/**
 * Bounds the bytes of the turns that calls in progress hold; confined to the event loop.
 *
 * A turn that several calls hold is kept, and counted, once. Large chains get only a part of the capacity, so that short
 * ones are continued beside them.
 *
 * @property capacityBytes the maximum total size of all turns
 */
public class TurnMemory(
    private val capacityBytes: Long,
) {
    /** The number of chains that hold each record. Another record with the same id may be of another account. */
    private val holders = IdentityHashMap<TurnRecord, Int>()
    private val latest = HashMap<CallId, TurnRecord>()

    /** The total size of the turns that are held. */
    public var heldBytes: Long = 0L
        private set

    /** The number of chains that were refused. */
    public var refusedCount: Long = 0L
        private set

    /** Returns the turn [id] if a call holds it. */
    internal fun find(id: CallId): TurnRecord? = latest[id]

    /** Holds [record] for a chain of at least [chainBytes] with it, or returns false if it does not fit. */
    internal fun tryHold(
        record: TurnRecord,
        chainBytes: Long,
    ): Boolean {
        if (record !in holders) {
            if (heldBytes + record.sizeBytes > limitBytes(chainBytes)) {
                refusedCount++
                return false
            }
            heldBytes += record.sizeBytes
            latest[record.id] = record
        }
        holders.merge(record, 1, Int::plus)
        return true
    }

    /** Whether a chain of at least [chainBytes] fits while no other one is held. */
    internal fun canEverHold(chainBytes: Long): Boolean = chainBytes <= limitBytes(chainBytes)

    /** Ends what one call of [tryHold] with [record] began. */
    internal fun release(record: TurnRecord) {
        val remaining = checkNotNull(holders[record]) { "The turn is not held." } - 1
        if (remaining > 0) {
            holders[record] = remaining
            return
        }
        holders.remove(record)
        heldBytes -= record.sizeBytes
        latest.remove(record.id, record)
    }

    private fun limitBytes(chainBytes: Long): Long =
        if (chainBytes > SMALL_CHAIN_BYTES) capacityBytes / LARGE_CHAIN_DIVISOR * LARGE_CHAIN_FACTOR else capacityBytes

    private companion object {
        /** Chains up to this size may use the whole capacity. */
        private const val SMALL_CHAIN_BYTES = 1024 * 1024L
        private const val LARGE_CHAIN_FACTOR = 7
        private const val LARGE_CHAIN_DIVISOR = 8
    }
}
