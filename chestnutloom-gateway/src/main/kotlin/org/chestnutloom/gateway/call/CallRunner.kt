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

/** Runs calls on sidecars and retries idempotent ones within the retry budget. */
internal class CallRunner(
    private val targetSelector: TargetSelector,
    private val inFlightCalls: InFlightCalls,
    private val notifier: SidecarNotifier,
    private val crashTracker: CrashTracker,
    private val keys: KeyDirectory,
    private val proof: FreshnessProof,
    private val retries: RetryBudget,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val mechanisms: Mechanisms,
) {
    /**
     * Runs the idempotent [plan] and retries it on other targets when one fails.
     *
     * After [onChunk] has received a chunk, the call is not retried; only its current attempt is resumed.
     */
    suspend fun runIdempotent(
        plan: CallPlan,
        onChunk: suspend (String) -> Unit,
    ): CallResult {
        retries.recordRequest()
        return RetriedCall(plan, onChunk).run()
    }

    /**
     * Returns null if [plan] may be sent now, or a refusal.
     *
     * The reasons are a withdrawn key, a cancelled program, a quarantined body and, except on open routes, an expired
     * freshness proof.
     */
    fun checkSendable(plan: CallPlan): Refusal? {
        val key = plan.caller?.key
        if (key != null && keys.isWithdrawn(key)) return keyWithdrawn()
        if (inFlightCalls.isCancelled(plan.program)) return cancelled()
        val crashRefusal = crashTracker.check(plan.bodyHash)
        if (crashRefusal != null || plan.caller == null) return crashRefusal
        return proof.check().leftOrNull()
    }

    /** Returns a sidecar that can run [plan] and is not in [excluded], or null if there is none. */
    suspend fun selectSidecar(
        plan: CallPlan,
        excluded: Set<TargetId>,
    ): Sidecar? = targetSelector.select(plan, excluded)

    /** Sends [plan] once to [sidecar] under [id] and waits for its outcome. */
    suspend fun attempt(
        plan: CallPlan,
        id: CallId,
        number: Int,
        sidecar: Sidecar,
        incarnation: Incarnation?,
        onChunk: suspend (String) -> Unit,
    ): AttemptOutcome =
        cancellable(InFlightCall(plan.caller?.key, plan.program, sidecar), id, timeoutOf(plan)) {
            val span = tracing.start("call", plan.traceParent, "call" to id.value, "target" to sidecar.id.value)
            val reconnectTimeout = if (plan.idempotent) IDEMPOTENT_RECONNECT_TIMEOUT else AT_MOST_ONCE_RECONNECT_TIMEOUT
            val attempt = CallAttempt(sidecar, id, incarnation, reconnectTimeout, mechanisms, onChunk)
            val request = plan.toRequest(id, number).copy(traceParent = span.traceParent() ?: plan.traceParent)
            try {
                attempt.run(request).also { span.end((it as? AttemptOutcome.Refused)?.refusal) }
            } catch (exception: CancellationException) {
                span.end()
                throw exception
            }
        }

    /** Determines the outcome of the call [id], which an earlier owner sent to [incarnation] of [sidecar]. */
    suspend fun recover(
        id: CallId,
        sidecar: Sidecar,
        incarnation: Incarnation?,
    ): AttemptOutcome =
        cancellable(InFlightCall(null, null, sidecar), id, RECOVERY_TIMEOUT) {
            CallAttempt(sidecar, id, incarnation, AT_MOST_ONCE_RECONNECT_TIMEOUT, mechanisms) {}.recover()
        }

    private fun isCancelled(call: InFlightCall): Boolean =
        inFlightCalls.isCancelled(call.program) || call.key?.let(keys::isWithdrawn) == true

    private fun refused(): AttemptOutcome = AttemptOutcome.Refused(cancelled())

    private suspend fun cancellable(
        call: InFlightCall,
        id: CallId,
        timeout: Duration,
        block: suspend () -> AttemptOutcome,
    ): AttemptOutcome =
        try {
            withTimeout(timeout) { inFlightCalls.track(id, call) { if (isCancelled(call)) refused() else block() } }
        } catch (_: TimeoutCancellationException) {
            notifier.cancel(call.sidecar, id)
            AttemptOutcome.Refused(timedOut())
        } catch (exception: CancellationException) {
            notifier.cancel(call.sidecar, id)
            throw exception
        }

    /** One call with its retries on other targets. */
    private inner class RetriedCall(
        private val plan: CallPlan,
        private val onChunk: suspend (String) -> Unit,
    ) {
        private val excluded = mutableSetOf<TargetId>()
        private var chunks = 0
        private var mayHaveRun = false
        private var id = plan.id
        private var lastRefusal: Refusal = noTarget()

        suspend fun run(): CallResult {
            for (number in 1..MAX_ATTEMPTS) {
                checkSendable(plan)?.let { return refused(it) }
                val sidecar = selectSidecar(plan, excluded) ?: return refused(lastRefusal)
                checkSendable(plan)?.let { return refused(it) }
                val outcome = attempt(plan, id, number, sidecar, null, ::deliverChunk)
                if (outcome is AttemptOutcome.Ended && !isTargetError(outcome)) return answered(outcome, sidecar)
                if (outcome is AttemptOutcome.Ended && !isServerError(outcome)) return refused(refusalOf(outcome))
                lastRefusal = refusalOf(outcome)
                if (!isRetryable(lastRefusal)) return refused(lastRefusal)
                excluded += sidecar.id
                id = CallId("${plan.id.value}.${UUID.randomUUID()}")
                logRetry(sidecar, lastRefusal)
            }
            return refused(lastRefusal)
        }

        private suspend fun deliverChunk(data: String) {
            chunks++
            onChunk(data)
        }

        private fun isTargetError(outcome: AttemptOutcome.Ended): Boolean =
            plan.kind == CallKind.MODEL && outcome.answer.status >= FIRST_ERROR

        private fun answered(
            outcome: AttemptOutcome.Ended,
            sidecar: Sidecar,
        ) = CallResult.Answered(outcome.answer, sidecar, id)

        private fun isRetryable(refusal: Refusal): Boolean {
            if (refusal.execution != Execution.NOT_RUN) mayHaveRun = true
            if (chunks > 0) return false
            if (!plan.idempotent && !isNotRun(refusal)) return false
            return when (refusal.code) {
                RefusalCode.TARGET_LOST, RefusalCode.TARGET_ERROR -> isNotRun(refusal) || retries.tryRetry()
                RefusalCode.OVERLOADED, RefusalCode.NO_TARGET, RefusalCode.STOPPING -> isNotRun(refusal)
                RefusalCode.GATEWAY_STALE -> isNotRun(refusal)
                else -> false
            }
        }

        private fun isNotRun(refusal: Refusal): Boolean = refusal.execution == Execution.NOT_RUN

        private fun refused(refusal: Refusal): CallResult {
            val isExecutionUnknown = mayHaveRun && refusal.execution == Execution.NOT_RUN
            return CallResult.Refused(if (isExecutionUnknown) refusal.copy(execution = Execution.UNKNOWN) else refusal)
        }

        private fun logRetry(
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
        private val IDEMPOTENT_RECONNECT_TIMEOUT = 3.seconds
        private val AT_MOST_ONCE_RECONNECT_TIMEOUT = 30.seconds
        private val TIMEOUT_MARGIN = 10.seconds
        private val RECOVERY_TIMEOUT = 10.minutes

        /** Returns the refusal that describes [outcome], which has no usable answer. */
        fun refusalOf(outcome: AttemptOutcome): Refusal =
            when (outcome) {
                is AttemptOutcome.Refused -> outcome.refusal
                is AttemptOutcome.Lost -> CallAttempt.targetLostRefusal()
                is AttemptOutcome.NotRun -> Refusal(RefusalCode.TARGET_LOST, Execution.NOT_RUN, outcome.detail)
                is AttemptOutcome.Ended -> targetError(outcome.answer.status)
            }

        /** Returns the refusal for a model call that the target answered with the HTTP error [status]. */
        fun targetError(status: Int): Refusal =
            Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The target answered with status $status.")

        /** Returns the refusal for a call that no reachable target can run. */
        fun noTarget(): Refusal {
            val detail = "No reachable target can run the call."
            return Refusal(RefusalCode.NO_TARGET, Execution.NOT_RUN, detail, NO_TARGET_RETRY_MS)
        }

        /** Returns the refusal for a call whose key is withdrawn. */
        fun keyWithdrawn(): Refusal = Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "The key is withdrawn.")

        private fun cancelled(): Refusal =
            Refusal(RefusalCode.CANCELLED, Execution.NOT_RUN, "The program was cancelled or its key withdrawn.")

        private fun timeoutOf(plan: CallPlan): Duration = plan.queueTimeout + plan.runTimeout + TIMEOUT_MARGIN

        private fun timedOut(): Refusal =
            Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "The call exceeded its time limit.")

        private fun isServerError(outcome: AttemptOutcome.Ended): Boolean = outcome.answer.status >= FIRST_SERVER_ERROR
    }
}
