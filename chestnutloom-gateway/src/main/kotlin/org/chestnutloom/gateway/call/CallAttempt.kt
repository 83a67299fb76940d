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
 * One sending of one call to one run of one sidecar.
 *
 * When the link fails, the attempt asks the same run of the sidecar what became of the call and goes on with its
 * answer; the call itself is sent only once.
 *
 * @param incarnation the run of the sidecar that gets the call, or null when any run may
 * @property patience how long the attempt tries to reach the sidecar again after a failed link
 * @property onChunk takes each chunk of a streamed answer, in order and without gaps
 */
internal class CallAttempt(
    private val sidecar: Sidecar,
    private val id: CallId,
    incarnation: Incarnation?,
    private val patience: Duration,
    private val mechanisms: Mechanisms,
    private val onChunk: suspend (String) -> Unit,
) {
    private var nextChunk = 0
    private var expected = incarnation ?: sidecar.incarnation

    /** Sends [request] and returns how it came out. */
    suspend fun run(request: CallRequest): AttemptOutcome {
        sidecar.sent(request.promptTokens)
        return when (val step = consume(sidecar.link.request(RunCall(request)))) {
            is Step.Final -> step.outcome
            is Step.Broken -> afterFirstBreak(step.failure)
        }
    }

    /** Asks what became of the call, which an earlier owner may have sent, and returns how it came out. */
    suspend fun recover(): AttemptOutcome = resume(fence = true)

    private suspend fun afterFirstBreak(failure: LinkFailure?): AttemptOutcome =
        when (failure) {
            is LinkFailure.Refused -> AttemptOutcome.NotRun("the sidecar refused the connection")
            is LinkFailure.Unreachable -> AttemptOutcome.NotRun("the sidecar is not reachable")
            is LinkFailure.WrongPeer -> AttemptOutcome.NotRun("another process answers at the sidecar's address")
            else -> afterBreak()
        }

    private suspend fun afterBreak(): AttemptOutcome {
        if (mechanisms.has(Mechanism.STREAM_COMPLETENESS) || nextChunk == 0) return resume(fence = false)
        return AttemptOutcome.Ended(CallEnded(HTTP_OK, "text/event-stream", "", nextChunk, Usage(), 0))
    }

    private suspend fun resume(fence: Boolean): AttemptOutcome {
        var stalls = 0
        while (stalls < MAX_STALLS) {
            val resumed = withTimeoutOrNull(patience) { resumeUntilKnown(fence) }
            if (resumed == null) return AttemptOutcome.Lost("the sidecar does not answer")
            if (resumed is Resumed.Known) return resumed.outcome
            val chunkBefore = nextChunk
            val step = consume(sidecar.link.request(AttachCall(id, nextChunk)))
            if (step is Step.Final) return step.outcome
            stalls = if (nextChunk > chunkBefore) 0 else stalls + 1
        }
        return AttemptOutcome.Lost("the answer does not go on")
    }

    private suspend fun resumeUntilKnown(fence: Boolean): Resumed {
        var refusals = 0
        var pause = MIN_PAUSE
        while (true) {
            val answer = query(fence)
            if (answer.status != null && !isExpectedRun()) return lost("another run of the sidecar answers")
            if (answer.status != null) return known(answer.status)
            refusals = if (answer.failure is LinkFailure.Refused) refusals + 1 else 0
            if (refusals >= GONE_REFUSALS) return lost("the sidecar's process is gone")
            delay(pause)
            pause = (pause * 2).coerceAtMost(MAX_PAUSE)
        }
    }

    private fun known(status: CallStatus): Resumed {
        val refusal = status.refusal
        val answer = status.ended
        return when {
            status.state == CallState.NOT_RUN -> Resumed.Known(AttemptOutcome.NotRun("the sidecar never ran the call"))
            status.state != CallState.ENDED -> Resumed.Running
            refusal != null -> Resumed.Known(AttemptOutcome.Refused(refusal))
            answer != null && answer.chunks <= nextChunk -> Resumed.Known(AttemptOutcome.Ended(answer))
            else -> Resumed.Running
        }
    }

    private suspend fun query(fence: Boolean): QueryAnswer =
        try {
            QueryAnswer(sidecar.link.request(QueryCall(id, fence)).firstOrNull() as? CallStatus, null)
        } catch (exception: LinkException) {
            QueryAnswer(null, exception.failure)
        }

    private fun isExpectedRun(): Boolean = expected == null || sidecar.incarnation == expected

    private fun lost(detail: String): Resumed = Resumed.Known(AttemptOutcome.Lost(detail))

    private suspend fun consume(replies: Flow<LinkReply>): Step =
        try {
            replies.firstFinal() ?: Step.Broken(null)
        } catch (exception: LinkException) {
            Step.Broken(exception.failure)
        }

    private suspend fun Flow<LinkReply>.firstFinal(): Step? {
        var final: Step? = null
        firstOrNull { reply ->
            if (expected == null) expected = sidecar.incarnation
            final = accept(reply)
            final != null
        }
        return final
    }

    private suspend fun accept(reply: LinkReply): Step? =
        when (reply) {
            is CallChunk -> acceptChunk(reply)
            is CallEnded ->
                if (reply.chunks <=
                    nextChunk
                ) {
                    Step.Final(AttemptOutcome.Ended(reply))
                } else {
                    Step.Broken(null)
                }
            is CallRefused -> Step.Final(AttemptOutcome.Refused(reply.refusal))
            is CallStatus -> acceptStatus(reply)
            else -> null
        }

    private suspend fun acceptChunk(chunk: CallChunk): Step? {
        if (chunk.index > nextChunk) return Step.Broken(null)
        if (chunk.index < nextChunk) return null
        nextChunk++
        onChunk(chunk.data)
        return null
    }

    private fun acceptStatus(status: CallStatus): Step? =
        when (val resumed = known(status)) {
            is Resumed.Known -> Step.Final(resumed.outcome)
            is Resumed.Running -> null
        }

    private class QueryAnswer(
        val status: CallStatus?,
        val failure: LinkFailure?,
    )

    private sealed interface Resumed {
        class Known(
            val outcome: AttemptOutcome,
        ) : Resumed

        data object Running : Resumed
    }

    private sealed interface Step {
        class Final(
            val outcome: AttemptOutcome,
        ) : Step

        class Broken(
            val failure: LinkFailure?,
        ) : Step
    }

    internal companion object {
        private const val HTTP_OK = 200
        private const val GONE_REFUSALS = 5
        private const val MAX_STALLS = 20
        private val MIN_PAUSE = 20.milliseconds
        private val MAX_PAUSE = 250.milliseconds

        /** Returns the refusal for a call whose outcome cannot be learned. */
        fun lostRefusal(): Refusal =
            Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "the target or its sidecar went away during the call")
    }
}
