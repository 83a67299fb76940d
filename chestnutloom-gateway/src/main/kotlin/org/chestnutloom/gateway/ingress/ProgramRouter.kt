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
 * Brings requests to the gateway that owns their program: this one, or another one over its link.
 *
 * Every operation on a program is safe to repeat at its owner, so a request whose forwarding failed is tried again until
 * [patience] is over.
 */
internal class ProgramRouter(
    private val ownership: OwnershipTable,
    private val host: ProgramRequestHandler,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val clock: Clock,
    private val patience: Duration,
) {
    /** Runs [request], which came from a caller: any number of events, then one answer. */
    fun route(request: ForwardRequest): Flow<LinkReply> = flow { Routing(request, this).run() }

    /** Runs [request], which another gateway handed on because it takes this one for the owner. */
    fun acceptForwarded(request: ForwardRequest): Flow<LinkReply> =
        flow {
            ownership.beginRequest(request.program)
            try {
                val location = ownership.locate(request.program)
                val isOwner = location is ProgramLocation.Local && request.hops <= MAX_HOPS
                if (isOwner) emitHere(request, location.epoch) else emit(refusedAnswer(refusalAt(location)))
            } finally {
                ownership.endRequest(request.program)
            }
        }

    /** Tells whether a turn of [program] or of its family is under way here. */
    fun isRunning(program: ProgramId): Boolean = host.isRunning(program)

    /** Tells whether this gateway owns [program] and turn [turnNumber] of it has run or is under way. */
    suspend fun knowsTurn(
        program: ProgramId,
        account: ClientAccountId,
        turnNumber: Int,
    ): Boolean {
        val location = ownership.locate(program)
        return location is ProgramLocation.Local && host.knowsTurn(program, location.epoch, account, turnNumber)
    }

    private suspend fun FlowCollector<LinkReply>.emitHere(
        request: ForwardRequest,
        epoch: Long,
    ) = host.handle(request, epoch).collect { emit(it) }

    private fun refusalAt(location: ProgramLocation): Refusal =
        (location as? ProgramLocation.Unavailable)?.refusal ?: unreachable(Execution.NOT_RUN)

    private fun unreachable(execution: Execution): Refusal {
        val detail = "the gateway that owns the program cannot be reached"
        return Refusal(RefusalCode.GATEWAY_STALE, execution, detail, RETRY_AFTER_MS)
    }

    private inner class Routing(
        private val request: ForwardRequest,
        private val collector: FlowCollector<LinkReply>,
    ) {
        private val splice = EventSplice()
        private val giveUpAt = clock.elapsed() + patience
        private var mayHaveRun = false
        private var pause = FIRST_PAUSE

        suspend fun run() {
            var answer = tryOnce(ownership::locate)
            while (answer == null || isRepeatable(answer)) {
                if (clock.elapsed() >= giveUpAt) break
                delay(pause)
                pause = (pause * 2).coerceAtMost(LAST_PAUSE)
                splice.restart()
                answer = tryOnce(ownership::refreshAndLocate)
            }
            collector.emit(truthful(answer ?: refusedAnswer(unreachable(Execution.NOT_RUN))))
        }

        private suspend fun tryOnce(locate: suspend (ProgramId) -> ProgramLocation): ForwardedAnswer? {
            ownership.beginRequest(request.program)
            try {
                return when (val location = locate(request.program)) {
                    is ProgramLocation.Local -> deliver(host.handle(request, location.epoch))
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
                return deliver(link.request(forwarded)).also { if (it == null) mayHaveRun = true }
            } catch (exception: LinkException) {
                val failure = exception.failure
                if (failure !is LinkFailure.Refused && failure !is LinkFailure.Unreachable) mayHaveRun = true
                logger.warnEvent("forward_failed", "program" to request.program, "failure" to failure)
                return null
            } finally {
                span.end(null)
            }
        }

        private suspend fun deliver(replies: Flow<LinkReply>): ForwardedAnswer? {
            var answer: ForwardedAnswer? = null
            replies.firstOrNull { reply ->
                if (reply is ForwardedEvent && !take(reply)) answer = refusedAnswer(anotherRun())
                if (reply is ForwardedAnswer) answer = reply
                answer != null
            }
            val isWhole = answer == null || answer?.refusal != null || splice.isComplete()
            return if (isWhole) answer else refusedAnswer(anotherRun())
        }

        private suspend fun take(event: ForwardedEvent): Boolean {
            val verdict = splice.accept(event)
            if (verdict == EventSplice.Verdict.DELIVER) collector.emit(event)
            return verdict != EventSplice.Verdict.MISMATCH
        }

        private fun isRepeatable(answer: ForwardedAnswer): Boolean =
            answer.refusal?.code == RefusalCode.GATEWAY_STALE || answer.refusal?.code == RefusalCode.STOPPING

        private fun truthful(answer: ForwardedAnswer): ForwardedAnswer {
            val refusal = answer.refusal ?: return answer
            if (!mayHaveRun || refusal.execution != Execution.NOT_RUN) return answer
            return answer.copy(refusal = refusal.copy(execution = Execution.UNKNOWN))
        }

        private fun anotherRun(): Refusal {
            val detail = "the stream broke; repeat the turn to get its whole answer"
            return Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, detail, 0)
        }
    }

    private companion object {
        const val MAX_HOPS = 1
        const val RETRY_AFTER_MS = 1_000L
        val FIRST_PAUSE = 25.milliseconds
        val LAST_PAUSE = 400.milliseconds
    }
}
