package org.chestnutloom.edge.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.chestnutloom.id.TargetId

/**
 * The failures of a target that one gateway has seen in its sliding window.
 *
 * @property startedAtEpochMs identifies the run of the target
 * @property failures the failed attempts in the window
 * @property attempts the attempts in the window, including the failed ones
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class TargetFailures(
    public val target: TargetId,
    public val startedAtEpochMs: Long?,
    public val failures: Int,
    public val attempts: Int,
)
