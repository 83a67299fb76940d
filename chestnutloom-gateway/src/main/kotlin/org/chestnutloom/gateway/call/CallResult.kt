package org.chestnutloom.gateway.call

import org.chestnutloom.call.Refusal
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.CallEnded

/** The result of a call after all attempts. */
internal sealed interface CallResult {
    /** The complete answer came from [sidecar], which ran the call under [id]. */
    data class Answered(
        val answer: CallEnded,
        val sidecar: Sidecar,
        val id: CallId,
    ) : CallResult

    /** No complete answer was received. */
    data class Refused(
        val refusal: Refusal,
    ) : CallResult
}
