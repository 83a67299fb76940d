package org.chestnutloom.gateway.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.gateway.program.ProgramRequestHandler
import org.chestnutloom.gateway.program.refusedAnswer
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.gateway.trace.end
import org.chestnutloom.gateway.trace.traceParent
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.message.ForwardRequest
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Routes requests to the gateway that owns their program: to this gateway, or to another one over its link.
 *
 * The owner handles every program operation idempotently, so failed forwarding is retried with exponential backoff
 * until [routingTimeout] has elapsed.
 */
internal class ProgramRouter(
    private val ownership: OwnershipTable,
    private val requestHandler: ProgramRequestHandler,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val clock: Clock,
    private val routingTimeout: Duration,
) {
    /** Runs [request] from a caller. The flow emits any number of events, then one answer. */
    fun route(request: ForwardRequest): Flow<LinkReply> = flow { Routing(request, this).run() }

    /** Runs [request], forwarded by a gateway that considers this gateway to be the owner. */
    fun acceptForwarded(request: ForwardRequest): Flow<LinkReply> =
        flow {
            ownership.beginRequest(request.program)
            try {
                val location = ownership.locate(request.program)
                val isOwner = location is ProgramLocation.Local && request.hops <= MAX_HOPS
                if (isOwner) emitLocal(request, location.epoch) else emit(refusedAnswer(refusalFor(location)))
            } finally {
                ownership.endRequest(request.program)
            }
        }

    /** Returns whether a request or turn of [program]'s tree is in progress on this gateway. */
    fun isRunning(program: ProgramId): Boolean = requestHandler.isRunning(program)

    /** Returns whether this gateway owns [program] and its turn [turnNumber] has run or is in progress. */
    suspend fun knowsTurn(
        program: ProgramId,
        account: ClientAccountId,
        turnNumber: Int,
    ): Boolean {
        val location = ownership.locate(program)
        return location is ProgramLocation.Local &&
            requestHandler.knowsTurn(program, location.epoch, account, turnNumber)
    }

    private suspend fun FlowCollector<LinkReply>.emitLocal(
        request: ForwardRequest,
        epoch: Long,
    ) = requestHandler.handle(request, epoch).collect { emit(it) }

    private fun refusalFor(location: ProgramLocation): Refusal =
        (location as? ProgramLocation.Unavailable)?.refusal ?: ownerUnreachable(Execution.NOT_RUN)

    private fun ownerUnreachable(execution: Execution): Refusal {
        val detail = "The gateway that owns the program is unreachable."
        return Refusal(RefusalCode.GATEWAY_STALE, execution, detail, RETRY_AFTER_MS)
    }

    /** One request with the attempts to reach the owner of its program. */
    private inner class Routing(
        private val request: ForwardRequest,
        private val collector: FlowCollector<LinkReply>,
    ) {
        private val replayFilter = EventReplayFilter()
        private val deadline = clock.elapsed() + routingTimeout
        private var mayHaveRun = false
        private var backoff = INITIAL_BACKOFF

        suspend fun run() {
            var answer = attempt(ownership::locate)
            while (answer == null || isRetryable(answer)) {
                if (clock.elapsed() >= deadline) break
                delay(backoff)
                backoff = (backoff * 2).coerceAtMost(MAX_BACKOFF)
                replayFilter.restart()
                answer = attempt(ownership::refreshAndLocate)
            }
            collector.emit(asUnknownIfMayHaveRun(answer ?: refusedAnswer(ownerUnreachable(Execution.NOT_RUN))))
        }

        private suspend fun attempt(locate: suspend (ProgramId) -> ProgramLocation): ForwardedAnswer? {
            ownership.beginRequest(request.program)
            try {
                return when (val location = locate(request.program)) {
                    is ProgramLocation.Local -> collectAnswer(requestHandler.handle(request, location.epoch))
                    is ProgramLocation.Remote -> forward(location.link)
                    is ProgramLocation.Unavailable -> refusedAnswer(location.refusal)
                }
            } finally {
                ownership.endRequest(request.program)
            }
        }

        private suspend fun forward(link: PeerLink): ForwardedAnswer? {
            val span = tracing.start("forward", request.traceParent, "owner" to link.peer?.id)
            metrics.counter("chestnutloom.forwards").increment()
            val forwarded = request.copy(hops = 1, traceParent = span.traceParent() ?: request.traceParent)
            try {
                return collectAnswer(link.request(forwarded)).also { if (it == null) mayHaveRun = true }
            } catch (exception: LinkException) {
                val failure = exception.failure
                if (failure !is LinkFailure.Refused && failure !is LinkFailure.Unreachable) mayHaveRun = true
                logger.warnEvent("forward_failed", "program" to request.program, "failure" to failure)
                return null
            } finally {
                span.end(null)
            }
        }

        private suspend fun collectAnswer(replies: Flow<LinkReply>): ForwardedAnswer? {
            var answer: ForwardedAnswer? = null
            replies.firstOrNull { reply ->
                if (reply is ForwardedEvent && !acceptEvent(reply)) answer = refusedAnswer(executionMismatch())
                if (reply is ForwardedAnswer) answer = reply
                answer != null
            }
            val isComplete = answer == null || answer?.refusal != null || replayFilter.isComplete()
            return if (isComplete) answer else refusedAnswer(executionMismatch())
        }

        private suspend fun acceptEvent(event: ForwardedEvent): Boolean {
            val verdict = replayFilter.accept(event)
            if (verdict == EventReplayFilter.Verdict.DELIVER) collector.emit(event)
            return verdict != EventReplayFilter.Verdict.MISMATCH
        }

        private fun isRetryable(answer: ForwardedAnswer): Boolean =
            answer.refusal?.code == RefusalCode.GATEWAY_STALE || answer.refusal?.code == RefusalCode.STOPPING

        private fun asUnknownIfMayHaveRun(answer: ForwardedAnswer): ForwardedAnswer {
            val refusal = answer.refusal ?: return answer
            if (!mayHaveRun || refusal.execution != Execution.NOT_RUN) return answer
            return answer.copy(refusal = refusal.copy(execution = Execution.UNKNOWN))
        }

        private fun executionMismatch(): Refusal {
            val detail = "The stream was aborted; send the turn again to get the complete answer."
            return Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, detail, 0)
        }
    }

    private companion object {
        const val MAX_HOPS = 1
        const val RETRY_AFTER_MS = 1_000L
        val INITIAL_BACKOFF = 25.milliseconds
        val MAX_BACKOFF = 400.milliseconds
    }
}
