package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponseFraming
import org.chestnutloom.edge.target.RunEvidence
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetLiveness

/**
 * Decides whether a response body that has ended counts as complete, before anything tells the caller so or keeps it.
 *
 * The framing and the content must both have come to their end; neither stands for the other, as a target may frame a
 * part of a stream as the whole of it. The end of a connection alone does not show that the framing has come to its end:
 * a target that is killed closes its connections in the same way as one that has sent everything.
 */
internal class CompletionCheck(
    private val liveness: TargetLiveness,
) {
    /** Returns whether the body that the run of [target] shown by [run] ended with [evidence] is complete. */
    suspend fun check(
        target: Target,
        evidence: BodyEvidence,
        run: RunEvidence,
    ): BodyEnd {
        if (evidence.framing == ResponseFraming.NO_BODY) return BodyEnd.Complete(CompletionEvidence.NO_BODY)
        if (evidence.content == ContentEnd.INSIDE_EVENT) return BodyEnd.Broken("stream ended inside an event")
        return when (evidence.framing) {
            ResponseFraming.LENGTH -> BodyEnd.Complete(CompletionEvidence.LENGTH)
            ResponseFraming.CHUNKS -> BodyEnd.Complete(CompletionEvidence.LAST_CHUNK)
            else -> checkConnectionEnd(target, evidence, run)
        }
    }

    private suspend fun checkConnectionEnd(
        target: Target,
        evidence: BodyEvidence,
        run: RunEvidence,
    ): BodyEnd =
        when {
            evidence.content == ContentEnd.NO_EVENT -> BodyEnd.Broken("connection was closed before the first event")
            liveness.isAlive(target, run) -> BodyEnd.Complete(CompletionEvidence.TARGET_ALIVE)
            else -> BodyEnd.Broken("connection was closed, and the target may have been killed")
        }
}
