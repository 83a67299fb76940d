package org.chestnutloom.gateway.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.control.FreshnessProof
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.gateway.trace.end
import org.chestnutloom.gateway.trace.traceParent
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.retry.RetryBudget
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Runs calls on sidecars and repeats idempotent ones within the retry budget. */
internal class CallRunner(
    private val picker: TargetPicker,
    private val liveCalls: LiveCalls,
    private val notices: SidecarNotices,
    private val crashes: CrashWatch,
    private val keys: KeyDirectory,
    private val proof: FreshnessProof,
    private val retries: RetryBudget,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val mechanisms: Mechanisms,
) {
    /**
     * Runs the idempotent [plan], on further targets when one fails.
     *
     * Once [onChunk] has taken a chunk, only the same run is continued.
     */
    suspend fun runIdempotent(
        plan: CallPlan,
        onChunk: suspend (String) -> Unit,
    ): CallResult {
        retries.recordRequest()
        return RepeatedCall(plan, onChunk).run()
    }

    /** Refuses [plan] when its key, its body or this gateway's proof does not let it leave now. */
    fun mayLeave(plan: CallPlan): Refusal? {
        val key = plan.caller?.key
        if (key != null && keys.isWithdrawn(key)) return withdrawn()
        if (liveCalls.isCancelled(plan.program)) return cancelled()
        val crashRefusal = crashes.check(plan.bodyHash)
        if (crashRefusal != null || plan.caller == null) return crashRefusal
        return proof.check().leftOrNull()
    }

    /** Returns a sidecar for [plan] outside [excluded], or null. */
    suspend fun pick(
        plan: CallPlan,
        excluded: Set<TargetId>,
    ): Sidecar? = picker.pick(plan, excluded)

    /** Sends [plan] once as [id] to [sidecar] and follows it to its end. */
    suspend fun attempt(
        plan: CallPlan,
        id: CallId,
        number: Int,
        sidecar: Sidecar,
        incarnation: Incarnation?,
        onChunk: suspend (String) -> Unit,
    ): AttemptOutcome =
        guarded(LiveCall(plan.caller?.key, plan.program, sidecar), id, timeoutOf(plan)) {
            val span = tracing.start("call", plan.traceParent, "call" to id.value, "target" to sidecar.id.value)
            val patience = if (plan.idempotent) IDEMPOTENT_PATIENCE else GUARDED_PATIENCE
            val attempt = CallAttempt(sidecar, id, incarnation, patience, mechanisms, onChunk)
            val request = plan.toRequest(id, number).copy(traceParent = span.traceParent() ?: plan.traceParent)
            try {
                attempt.run(request).also { span.end((it as? AttemptOutcome.Refused)?.refusal) }
            } catch (exception: CancellationException) {
                span.end()
                throw exception
            }
        }

    /** Asks the run [incarnation] of [sidecar] for the outcome of the call [id], which an earlier owner sent. */
    suspend fun recover(
        id: CallId,
        sidecar: Sidecar,
        incarnation: Incarnation?,
    ): AttemptOutcome =
        guarded(LiveCall(null, null, sidecar), id, RECOVERY_TIMEOUT) {
            CallAttempt(sidecar, id, incarnation, GUARDED_PATIENCE, mechanisms) {}.recover()
        }

    private fun isStopped(call: LiveCall): Boolean =
        liveCalls.isCancelled(call.program) || call.key?.let(keys::isWithdrawn) == true

    private fun stopped(): AttemptOutcome = AttemptOutcome.Refused(cancelled())

    private suspend fun guarded(
        call: LiveCall,
        id: CallId,
        timeout: Duration,
        block: suspend () -> AttemptOutcome,
    ): AttemptOutcome =
        try {
            withTimeout(timeout) { liveCalls.during(id, call) { if (isStopped(call)) stopped() else block() } }
        } catch (_: TimeoutCancellationException) {
            notices.cancel(call.sidecar, id)
            AttemptOutcome.Refused(timedOut())
        } catch (exception: CancellationException) {
            notices.cancel(call.sidecar, id)
            throw exception
        }

    private inner class RepeatedCall(
        private val plan: CallPlan,
        private val onChunk: suspend (String) -> Unit,
    ) {
        private val excluded = mutableSetOf<TargetId>()
        private var chunks = 0
        private var mayHaveRun = false
        private var id = plan.id
        private var last: Refusal = noTarget()

        suspend fun run(): CallResult {
            for (number in 1..MAX_ATTEMPTS) {
                mayLeave(plan)?.let { return refused(it) }
                val sidecar = pick(plan, excluded) ?: return refused(last)
                mayLeave(plan)?.let { return refused(it) }
                val outcome = attempt(plan, id, number, sidecar, null, ::takeChunk)
                if (outcome is AttemptOutcome.Ended && !isTargetFault(outcome)) return answered(outcome, sidecar)
                if (outcome is AttemptOutcome.Ended && !isServerError(outcome)) return refused(refusalOf(outcome))
                last = refusalOf(outcome)
                if (!mayRepeat(last)) return refused(last)
                excluded += sidecar.id
                id = CallId("${plan.id.value}.${UUID.randomUUID()}")
                logRepeat(sidecar, last)
            }
            return refused(last)
        }

        private suspend fun takeChunk(data: String) {
            chunks++
            onChunk(data)
        }

        private fun isTargetFault(outcome: AttemptOutcome.Ended): Boolean =
            plan.kind == CallKind.MODEL && outcome.answer.status >= FIRST_ERROR

        private fun answered(
            outcome: AttemptOutcome.Ended,
            sidecar: Sidecar,
        ) = CallResult.Answered(outcome.answer, sidecar, id)

        private fun mayRepeat(refusal: Refusal): Boolean {
            if (refusal.execution != Execution.NOT_RUN) mayHaveRun = true
            if (chunks > 0) return false
            if (!plan.idempotent && !isFree(refusal)) return false
            return when (refusal.code) {
                RefusalCode.TARGET_LOST, RefusalCode.TARGET_ERROR -> isFree(refusal) || retries.tryRetry()
                RefusalCode.OVERLOADED, RefusalCode.NO_TARGET, RefusalCode.STOPPING -> isFree(refusal)
                RefusalCode.GATEWAY_STALE -> isFree(refusal)
                else -> false
            }
        }

        private fun isFree(refusal: Refusal): Boolean = refusal.execution == Execution.NOT_RUN

        private fun refused(refusal: Refusal): CallResult {
            val hides = mayHaveRun && refusal.execution == Execution.NOT_RUN
            return CallResult.Refused(if (hides) refusal.copy(execution = Execution.UNKNOWN) else refusal)
        }

        private fun logRepeat(
            sidecar: Sidecar,
            refusal: Refusal,
        ) {
            metrics.counter("chestnutloom.call.repeats", "code", refusal.code.wireName).increment()
            val fields = arrayOf("call" to plan.id, "target" to sidecar.id, "code" to refusal.code.wireName)
            logger.warnEvent("call_repeated", *fields, "execution" to refusal.execution)
        }
    }

    internal companion object {
        private const val MAX_ATTEMPTS = 4
        private const val FIRST_ERROR = 400
        private const val FIRST_SERVER_ERROR = 500
        private const val NO_TARGET_RETRY_MS = 1_000L
        private val IDEMPOTENT_PATIENCE = 3.seconds
        private val GUARDED_PATIENCE = 30.seconds
        private val TIMEOUT_MARGIN = 10.seconds
        private val RECOVERY_TIMEOUT = 10.minutes

        /** Returns the refusal that stands for [outcome] of a call that did not give a usable answer. */
        fun refusalOf(outcome: AttemptOutcome): Refusal =
            when (outcome) {
                is AttemptOutcome.Refused -> outcome.refusal
                is AttemptOutcome.Lost -> CallAttempt.lostRefusal()
                is AttemptOutcome.NotRun -> Refusal(RefusalCode.TARGET_LOST, Execution.NOT_RUN, outcome.detail)
                is AttemptOutcome.Ended -> targetError(outcome.answer.status)
            }

        /** Returns the refusal of a model call that the target answered with the error [status]. */
        fun targetError(status: Int): Refusal =
            Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "the target answered with status $status")

        /** Returns the refusal of a call that no reachable target can serve. */
        fun noTarget(): Refusal {
            val detail = "no reachable target can serve the call"
            return Refusal(RefusalCode.NO_TARGET, Execution.NOT_RUN, detail, NO_TARGET_RETRY_MS)
        }

        /** Returns the refusal of a call whose key is withdrawn. */
        fun withdrawn(): Refusal = Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "the key is withdrawn")

        private fun cancelled(): Refusal =
            Refusal(RefusalCode.CANCELLED, Execution.NOT_RUN, "the program was cancelled or its key withdrawn")

        private fun timeoutOf(plan: CallPlan): Duration = plan.queueTimeout + plan.runTimeout + TIMEOUT_MARGIN

        private fun timedOut(): Refusal =
            Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "the call took longer than it may")

        private fun isServerError(outcome: AttemptOutcome.Ended): Boolean = outcome.answer.status >= FIRST_SERVER_ERROR
    }
}
