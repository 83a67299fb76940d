package org.chestnutloom.fakes.fault

import kotlinx.serialization.Serializable

/**
 * A fault that a stand-in injects.
 *
 * @property delayMs the delay before each request is handled, in milliseconds
 * @property count the number of requests that the fault applies to, or null for all
 * @property match text that the body of a request must contain for the fault to apply, or null for all requests
 * @property afterChunks the number of chunks that are sent before [FaultMode.CUT_STREAM] closes the connection
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
