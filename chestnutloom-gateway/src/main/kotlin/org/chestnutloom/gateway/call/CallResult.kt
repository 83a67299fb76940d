package org.chestnutloom.gateway.call

import org.chestnutloom.call.Refusal
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.CallEnded

/** How a call came out after all its sendings. */
internal sealed interface CallResult {
    /** The whole answer came from [sidecar], which knows the call as [id]. */
    data class Answered(
        val answer: CallEnded,
        val sidecar: Sidecar,
        val id: CallId,
    ) : CallResult

    /** There is no whole answer. */
    data class Refused(
        val refusal: Refusal,
    ) : CallResult
}
