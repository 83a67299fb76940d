package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponseFraming
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetLiveness
import org.chestnutloom.edge.turn.EventStreamParser

/**
 * Decides whether a response that has ended counts as complete.
 *
 * The end of its connection alone does not show that: a target that is killed closes its connections in the same way as
 * one that has sent everything.
 */
internal class CompletionCheck(
    private val liveness: TargetLiveness,
) {
    /** Returns whether the response that [target] ended with [end] is complete; [events] are null for a plain one. */
    suspend fun check(
        target: Target,
        end: ResponsePart.End,
        events: EventStreamParser?,
    ): BodyEnd =
        when (end.framing) {
            ResponseFraming.LENGTH -> BodyEnd.Complete(CompletionEvidence.LENGTH)
            ResponseFraming.CHUNKS -> BodyEnd.Complete(CompletionEvidence.LAST_CHUNK)
            ResponseFraming.NO_BODY -> BodyEnd.Complete(CompletionEvidence.NO_BODY)
            ResponseFraming.CONNECTION -> checkConnectionEnd(target, events)
        }

    private suspend fun checkConnectionEnd(
        target: Target,
        events: EventStreamParser?,
    ): BodyEnd =
        when {
            events?.isInsideEvent == true -> BodyEnd.Broken("connection was closed inside an event")
            liveness.isAlive(target) -> BodyEnd.Complete(CompletionEvidence.TARGET_ALIVE)
            else -> BodyEnd.Broken("connection was closed, and the target may have been killed")
        }
}
