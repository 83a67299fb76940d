package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId

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
    private val held = HashMap<CallId, HeldTurn>()

    /** The total size of the turns that are held. */
    public var heldBytes: Long = 0L
        private set

    /** The number of chains that were refused. */
    public var refusedCount: Long = 0L
        private set

    /** Returns the turn [id] if a call holds it. */
    internal fun find(id: CallId): TurnRecord? = held[id]?.record

    /**
     * Holds [record] for a chain of at least [chainBytes] with it, and returns the turn to use in its place, or null if
     * it does not fit.
     */
    internal fun tryHold(
        record: TurnRecord,
        chainBytes: Long,
    ): TurnRecord? {
        held[record.id]?.let { return it.addHolder() }
        if (heldBytes + record.sizeBytes > limitBytes(chainBytes)) {
            refusedCount++
            return null
        }
        held[record.id] = HeldTurn(record)
        heldBytes += record.sizeBytes
        return record
    }

    /** Whether a chain of at least [chainBytes] fits while no other one is held. */
    internal fun canEverHold(chainBytes: Long): Boolean = chainBytes <= limitBytes(chainBytes)

    /** Ends what one call of [tryHold] with the turn [id] began. */
    internal fun release(id: CallId) {
        val turn = checkNotNull(held[id]) { "The turn is not held." }
        if (--turn.holders > 0) return
        held.remove(id)
        heldBytes -= turn.record.sizeBytes
    }

    private fun limitBytes(chainBytes: Long): Long =
        if (chainBytes > SMALL_CHAIN_BYTES) capacityBytes / LARGE_CHAIN_DIVISOR * LARGE_CHAIN_FACTOR else capacityBytes

    private class HeldTurn(
        val record: TurnRecord,
    ) {
        var holders = 1

        fun addHolder(): TurnRecord {
            holders++
            return record
        }
    }

    private companion object {
        /** Chains up to this size may use the whole capacity. */
        private const val SMALL_CHAIN_BYTES = 1024 * 1024L
        private const val LARGE_CHAIN_FACTOR = 7
        private const val LARGE_CHAIN_DIVISOR = 8
    }
}
