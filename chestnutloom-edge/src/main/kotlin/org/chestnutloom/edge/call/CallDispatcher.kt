package org.chestnutloom.edge.call

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.crash.runOf
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.edge.target.TargetStage
import org.chestnutloom.time.Clock

private val logger = KotlinLogging.logger {}

/** Sends a call to targets in turn until one responds or no further attempt is allowed. */
internal class CallDispatcher(
    private val scheduler: TargetScheduler,
    private val attempts: TargetAttempts,
    private val reservations: TurnReservations,
    private val quarantine: RequestQuarantine,
    private val listeners: List<AttemptListener>,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Dispatches [call], or returns the refusal if no target responded. */
    suspend fun dispatch(call: RoutedCall): Either<Refusal, AttemptResult.Responded> {
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) {
            val required = requirementsOf(call)
            val target = scheduler.acquire(required).getOrElse { return refused(it, mayHaveRun).left() }
            if (reservations.isDue(call)) {
                reserve(call, target)?.let { return refused(it, mayHaveRun).left() }
                if (!scheduler.isStillUsable(required, target)) return@repeat scheduler.withdraw(target)
            }
            when (val result = attempt(call, target)) {
                is AttemptResult.Responded -> return result.right()
                is AttemptResult.TimedOut -> return timedOut().left()
                is AttemptResult.NotRun -> call.excludedTargets += target.entry.id
                is AttemptResult.Lost -> {
                    mayHaveRun = true
                    call.excludedTargets += target.entry.id
                    if (!mayRunAgain(call)) return lost(result).left()
                }
            }
        }
        return refused(attemptsExhausted(), mayHaveRun).left()
    }

    /** Returns whether [call], which may have run, may be sent to another target; a trial of a suspect crashes one at most. */
    private fun mayRunAgain(call: RoutedCall): Boolean {
        if (!call.route.isIdempotent || call.runs >= call.route.maxRuns) return false
        return !quarantine.hasCrashes || !quarantine.isQuarantined(call.fingerprint)
    }

    /** Reserves the tokens of [call], which has a slot at [target]; gives the slot back and returns why if that fails. */
    private suspend fun reserve(
        call: RoutedCall,
        target: Target,
    ): Refusal? {
        try {
            return reservations.reserve(call)
        } finally {
            if (call.reservation == null) scheduler.withdraw(target)
        }
    }

    private suspend fun attempt(
        call: RoutedCall,
        target: Target,
    ): AttemptResult {
        call.lastTarget = target.entry.id
        val crashesBefore = if (quarantine.hasCrashes) quarantine.crashesInRow(call.fingerprint) else 0
        var result: AttemptResult? = null
        try {
            listeners.forEach { it.started(call, target) }
            result = attempts.send(call, target) { listeners.forEach { it.responseBegun(call, target) } }
            recordResult(call, target, result, crashesBefore)
            return result
        } finally {
            try {
                listeners.forEach { it.ended(call, target, result) }
            } finally {
                // The slot must be released for other requests even if this coroutine is cancelled.
                scope.launch { scheduler.release(target) }
            }
        }
    }

    private fun recordResult(
        call: RoutedCall,
        target: Target,
        result: AttemptResult,
        crashesBefore: Int,
    ) {
        when (result) {
            is AttemptResult.Responded ->
                if (result.isComplete) recordSurvival(call) else recordAborted(call, target, crashesBefore)
            is AttemptResult.Lost -> {
                logLost(call, target, result.cause)
                recordAborted(call, target, crashesBefore)
            }
            is AttemptResult.NotRun, is AttemptResult.TimedOut -> Unit
        }
    }

    private fun logLost(
        call: RoutedCall,
        target: Target,
        cause: String,
    ) {
        logger.warnEvent("attempt_lost", "call" to call.id, "target" to target.entry.id, "cause" to cause)
    }

    private fun recordSurvival(call: RoutedCall) {
        if (quarantine.hasCrashes) quarantine.recordSurvival(call.fingerprint)
    }

    /** Blames the call for a crash of [target], unless the target was shutting down and closes its port for that. */
    private fun recordAborted(
        call: RoutedCall,
        target: Target,
        crashesBefore: Int,
    ) {
        if (target.isLeaving || target.entry.stage != TargetStage.READY) return
        quarantine.recordAborted(call.fingerprint, runOf(target.entry), crashesBefore)
    }

    /**
     * Returns [refusal], but with an unknown outcome if [mayHaveRun].
     *
     * A call that may have run on one target must not be reported as not run when no other target is available.
     */
    private fun refused(
        refusal: Refusal,
        mayHaveRun: Boolean,
    ): Refusal =
        if (mayHaveRun) refusal.copy(code = RefusalCode.TARGET_LOST, execution = Execution.UNKNOWN) else refusal

    private fun lost(result: AttemptResult.Lost): Refusal =
        Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "The target may have run the call: ${result.cause}.")

    private fun timedOut(): Refusal =
        Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "The target did not respond in time.")

    private fun attemptsExhausted(): Refusal =
        Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "The call failed at every target tried.", RETRY_AFTER_MS)

    private companion object {
        private const val MAX_ATTEMPTS = 5
        private const val RETRY_AFTER_MS = 200L
    }
}
