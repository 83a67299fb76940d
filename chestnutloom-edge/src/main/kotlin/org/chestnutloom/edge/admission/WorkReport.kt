package org.chestnutloom.edge.admission

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The work that one gateway has committed to and that waits there.
 *
 * All elements are encoded: an array without one of them would be decoded with the others at its place.
 *
 * @property committedMilliSlots the mean number of slots that its programs in progress need, in thousandths
 * @property modelWaitingMs the service time of waiting requests to engines by priority, without trailing zeros
 * @property plainWaitingMs the same of requests to services without an engine
 * @property limitPercent the utilization up to which programs that run at the gateway end in time, or 0 if that is unknown
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class WorkReport(
    @EncodeDefault public val committedMilliSlots: Int = 0,
    @EncodeDefault public val modelWaitingMs: List<Int> = emptyList(),
    @EncodeDefault public val plainWaitingMs: List<Int> = emptyList(),
    @EncodeDefault public val limitPercent: Int = 0,
) {
    /** Whether a gateway can have sent the report; figures out of range would distort the sums over the fleet. */
    internal val isPlausible: Boolean
        get() =
            committedMilliSlots in 0..MAX_MILLI_SLOTS &&
                limitPercent in 0..MAX_PERCENT &&
                (modelWaitingMs + plainWaitingMs).all { it in 0..MAX_WAITING_MS }

    private companion object {
        private const val MAX_MILLI_SLOTS = 100_000_000
        private const val MAX_PERCENT = 100
        private const val MAX_WAITING_MS = 100_000_000
    }
}
