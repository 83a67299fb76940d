package org.chestnutloom.gateway.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.call.Usage
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.CallStatus
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.QueryCall
import org.chestnutloom.wire.message.RunCall
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One attempt to run a call on one incarnation of a sidecar.
 *
 * When the link fails, the attempt queries the same incarnation for the state of the call and resumes its answer; the
 * call itself is sent only once.
 *
 * @param incarnation the incarnation of the sidecar that must run the call, or null when any incarnation may
 * @property reconnectTimeout how long the attempt tries to reconnect to the sidecar after the link failed
 * @property onChunk receives each chunk of a streamed answer, in order and without gaps
 */
internal class CallAttempt(
    private val sidecar: Sidecar,
    private val id: CallId,
    incarnation: Incarnation?,
    private val reconnectTimeout: Duration,
    private val mechanisms: Mechanisms,
    private val onChunk: suspend (String) -> Unit,
) {
    private var nextChunk = 0
    private var expectedIncarnation = incarnation ?: sidecar.incarnation

    /** Sends [request] and returns its outcome. */
    suspend fun run(request: CallRequest): AttemptOutcome {
        sidecar.recordSentCall(request.promptTokens)
        return when (val step = consume(sidecar.link.request(RunCall(request)))) {
            is Step.Final -> step.outcome
            is Step.Interrupted -> resolveFirstFailure(step.failure)
        }
    }

    /** Determines the outcome of the call, which an earlier owner may have sent, and prevents it from running later. */
    suspend fun recover(): AttemptOutcome = resume(fence = true)

    private suspend fun resolveFirstFailure(failure: LinkFailure?): AttemptOutcome =
        when (failure) {
            is LinkFailure.Refused -> AttemptOutcome.NotRun("The sidecar refused the connection.")
            is LinkFailure.Unreachable -> AttemptOutcome.NotRun("The sidecar is unreachable.")
            is LinkFailure.WrongPeer -> AttemptOutcome.NotRun("Another peer uses the sidecar's address.")
            else -> resumeOrEnd()
        }

    private suspend fun resumeOrEnd(): AttemptOutcome {
        if (mechanisms.has(Mechanism.STREAM_COMPLETENESS) || nextChunk == 0) return resume(fence = false)
        // With the mechanism disabled, an aborted stream counts as complete.
        return AttemptOutcome.Ended(CallEnded(HTTP_OK, "text/event-stream", "", nextChunk, Usage(), 0))
    }

    private suspend fun resume(fence: Boolean): AttemptOutcome {
        var stalls = 0
        while (stalls < MAX_STALLS) {
            val resolution = withTimeoutOrNull(reconnectTimeout) { awaitResolution(fence) }
            if (resolution == null) return AttemptOutcome.Lost("The sidecar does not answer.")
            if (resolution is Resolution.Known) return resolution.outcome
            val chunkBefore = nextChunk
            val step = consume(sidecar.link.request(AttachCall(id, nextChunk)))
            if (step is Step.Final) return step.outcome
            stalls = if (nextChunk > chunkBefore) 0 else stalls + 1
        }
        return AttemptOutcome.Lost("The answer stream makes no progress.")
    }

    private suspend fun awaitResolution(fence: Boolean): Resolution {
        var refusals = 0
        var backoff = MIN_BACKOFF
        while (true) {
            val answer = query(fence)
            if (answer.status != null && !isExpectedIncarnation()) return lost("The sidecar was restarted.")
            if (answer.status != null) return resolve(answer.status)
            refusals = if (answer.failure is LinkFailure.Refused) refusals + 1 else 0
            if (refusals >= MAX_CONNECTION_REFUSALS) return lost("The sidecar's process has ended.")
            delay(backoff)
            backoff = (backoff * 2).coerceAtMost(MAX_BACKOFF)
        }
    }

    private fun resolve(status: CallStatus): Resolution {
        val refusal = status.refusal
        val answer = status.ended
        return when {
            status.state == CallState.NOT_RUN -> Resolution.Known(AttemptOutcome.NotRun("The call did not run."))
            status.state != CallState.ENDED -> Resolution.Running
            refusal != null -> Resolution.Known(AttemptOutcome.Refused(refusal))
            answer != null && answer.chunks <= nextChunk -> Resolution.Known(AttemptOutcome.Ended(answer))
            else -> Resolution.Running
        }
    }

    private suspend fun query(fence: Boolean): QueryResult =
        try {
            QueryResult(sidecar.link.request(QueryCall(id, fence)).firstOrNull() as? CallStatus, null)
        } catch (exception: LinkException) {
            QueryResult(null, exception.failure)
        }

    private fun isExpectedIncarnation(): Boolean =
        expectedIncarnation == null || sidecar.incarnation == expectedIncarnation

    private fun lost(detail: String): Resolution = Resolution.Known(AttemptOutcome.Lost(detail))

    private suspend fun consume(replies: Flow<LinkReply>): Step =
        try {
            replies.firstFinal() ?: Step.Interrupted(null)
        } catch (exception: LinkException) {
            Step.Interrupted(exception.failure)
        }

    private suspend fun Flow<LinkReply>.firstFinal(): Step? {
        var final: Step? = null
        firstOrNull { reply ->
            if (expectedIncarnation == null) expectedIncarnation = sidecar.incarnation
            final = accept(reply)
            final != null
        }
        return final
    }

    private suspend fun accept(reply: LinkReply): Step? =
        when (reply) {
            is CallChunk -> acceptChunk(reply)
            is CallEnded ->
                if (reply.chunks <= nextChunk) {
                    Step.Final(AttemptOutcome.Ended(reply))
                } else {
                    Step.Interrupted(null)
                }
            is CallRefused -> Step.Final(AttemptOutcome.Refused(reply.refusal))
            is CallStatus -> acceptStatus(reply)
            else -> null
        }

    private suspend fun acceptChunk(chunk: CallChunk): Step? {
        if (chunk.index > nextChunk) return Step.Interrupted(null)
        if (chunk.index < nextChunk) return null
        nextChunk++
        onChunk(chunk.data)
        return null
    }

    private fun acceptStatus(status: CallStatus): Step? =
        when (val resolution = resolve(status)) {
            is Resolution.Known -> Step.Final(resolution.outcome)
            is Resolution.Running -> null
        }

    private class QueryResult(
        val status: CallStatus?,
        val failure: LinkFailure?,
    )

    /** What a query has found out about the call. */
    private sealed interface Resolution {
        class Known(
            val outcome: AttemptOutcome,
        ) : Resolution

        /** The call has not ended, or chunks of its answer have not been received. */
        data object Running : Resolution
    }

    /** How a stream of replies ended. */
    private sealed interface Step {
        class Final(
            val outcome: AttemptOutcome,
        ) : Step

        /** The replies ended early or had a gap; [failure] is null if the link did not fail. */
        class Interrupted(
            val failure: LinkFailure?,
        ) : Step
    }

    internal companion object {
        private const val HTTP_OK = 200
        private const val MAX_CONNECTION_REFUSALS = 5
        private const val MAX_STALLS = 20
        private val MIN_BACKOFF = 20.milliseconds
        private val MAX_BACKOFF = 250.milliseconds

        /** Returns the refusal for a call whose outcome cannot be determined. */
        fun targetLostRefusal(): Refusal =
            Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "The target or its sidecar failed during the call.")
    }
}
