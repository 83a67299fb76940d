package org.chestnutloom.fakes.fault

import kotlinx.serialization.Serializable

/**
 * A fault that a stand-in shows.
 *
 * @property delayMs how long each request waits first, in milliseconds
 * @property count how many requests the fault holds for; null means all
 * @property match the fault holds only for requests whose body contains this text; null means all
 * @property afterChunks with [FaultMode.CUT_STREAM], the chunks that still reach the caller
 */
@Serializable
public data class Fault(
    public val mode: FaultMode,
    public val delayMs: Long = 0,
    public val count: Int? = null,
    public val match: String? = null,
    public val afterChunks: Int = 0,
) {
    public companion object {
        /** No fault. */
        public val NONE: Fault = Fault(FaultMode.OK)
    }
}
