package org.chestnutloom.gateway.call

import org.chestnutloom.call.Refusal
import org.chestnutloom.wire.message.CallEnded

/** How one sending of a call to one sidecar came out. */
internal sealed interface AttemptOutcome {
    /** The whole answer came. */
    data class Ended(
        val answer: CallEnded,
    ) : AttemptOutcome

    /** The sidecar refused the call or could not complete it. */
    data class Refused(
        val refusal: Refusal,
    ) : AttemptOutcome

    /** The call did not run at that sidecar and never will under its id. */
    data class NotRun(
        val detail: String,
    ) : AttemptOutcome

    /** The run of the sidecar that had the call is gone, or does not answer, so the outcome cannot be learned. */
    data class Lost(
        val detail: String,
    ) : AttemptOutcome
}
