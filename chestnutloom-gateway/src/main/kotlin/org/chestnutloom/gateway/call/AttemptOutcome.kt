package org.chestnutloom.gateway.call

import org.chestnutloom.call.Refusal
import org.chestnutloom.wire.message.CallEnded

/** The outcome of one attempt to run a call on a sidecar. */
internal sealed interface AttemptOutcome {
    /** The complete answer was received. */
    data class Ended(
        val answer: CallEnded,
    ) : AttemptOutcome

    /** The sidecar refused the call or could not complete it. */
    data class Refused(
        val refusal: Refusal,
    ) : AttemptOutcome

    /**
     * The call did not run on that sidecar, which will not run it under this id later either.
     *
     * @property detail a sentence for the refusal that the caller receives
     */
    data class NotRun(
        val detail: String,
    ) : AttemptOutcome

    /** The sidecar process that received the call has ended or is unreachable, so the outcome cannot be determined. */
    data class Lost(
        val detail: String,
    ) : AttemptOutcome
}
