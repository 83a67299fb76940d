package org.chestnutloom.edge.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.CborArray
import org.chestnutloom.id.TargetId

/**
 * The load that one gateway puts on a target.
 *
 * @property requests the number of queued and running requests
 * @property workMs how long the requests are expected to run on in total, or 0 if the gateway does not estimate it;
 *   sent in [FleetHeartbeat.workMs]
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class TargetLoad(
    public val target: TargetId,
    public val requests: Int,
    @Transient
    public val workMs: Int = 0,
) {
    internal companion object {
        /** The largest number that takes two bytes; a target with more work is no choice anyway. */
        const val MAX_WORK_MS: Int = 65_535
    }
}
