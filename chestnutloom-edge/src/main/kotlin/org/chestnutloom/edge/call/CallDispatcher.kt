package org.chestnutloom.edge.call

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.crash.runOf
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetRequirements
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Sends a call to targets until one answers it or nothing more may be tried. */
internal class CallDispatcher(
    private val scheduler: TargetScheduler,
    private val attempts: TargetAttempts,
    private val crashes: RequestQuarantine,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Has [call] answered, or returns why it was not. */
    suspend fun dispatch(call: RoutedCall): Either<Refusal, AttemptResult.Answered> {
        var mayHaveRun = false
        repeat(MAX_SENDS) {
            val target = scheduler.acquire(needsOf(call)).getOrElse { return refused(it, mayHaveRun).left() }
            when (val result = attempt(call, target)) {
                is AttemptResult.Answered -> return result.right()
                is AttemptResult.TimedOut -> return timedOut().left()
                is AttemptResult.NotRun -> call.excluded += target.entry.id
                is AttemptResult.Lost -> {
                    mayHaveRun = true
                    call.excluded += target.entry.id
                    if (!call.route.isRepeatable || call.runs >= call.route.maxRuns) return lost(result).left()
                }
            }
        }
        return refused(exhausted(), mayHaveRun).left()
    }

    private suspend fun attempt(
        call: RoutedCall,
        target: Target,
    ): AttemptResult {
        call.lastTarget = target.entry.id
        try {
            val result = attempts.send(call, target)
            note(call, target, result)
            return result
        } finally {
            // Not in this coroutine, which may be cancelled: other requests wait for the place.
            scope.launch { scheduler.release(target) }
        }
    }

    private fun note(
        call: RoutedCall,
        target: Target,
        result: AttemptResult,
    ) {
        when (result) {
            is AttemptResult.Answered ->
                if (result.isWhole) {
                    target.health.succeeded()
                } else {
                    crashes.brokeOff(
                        call.fingerprint,
                        runOf(target.entry),
                    )
                }
            is AttemptResult.Lost -> {
                target.health.failed(clock.elapsed())
                crashes.brokeOff(call.fingerprint, runOf(target.entry))
            }
            is AttemptResult.NotRun -> target.health.failed(clock.elapsed())
            is AttemptResult.TimedOut -> Unit
        }
    }

    private fun needsOf(call: RoutedCall): TargetRequirements =
        TargetRequirements(
            service = call.service.name,
            rank = call.rank,
            prompt = call.head.prompt,
            isModelCall = call.route.kind == RouteKind.STREAMING,
            startsProgram = call.startsProgram,
            waitUntil = if (call.startsProgram) minOf(call.deadline, startDeadline(call)) else call.deadline,
            excluded = call.excluded,
        )

    /**
     * A program that cannot start at once is refused, so that its caller can come back or do without.
     *
     * While more programs come than can be served, a queue is always full: each program that starts would have waited
     * as long as any may, and end late.
     */
    private fun startDeadline(call: RoutedCall): Duration =
        call.request.receivedAt + call.route.latencyObjective / START_WAIT_DIVISOR

    /** A call that may have run on one target must not be promised as not run because no other could be had. */
    private fun refused(
        refusal: Refusal,
        mayHaveRun: Boolean,
    ): Refusal =
        if (mayHaveRun) refusal.copy(code = RefusalCode.TARGET_LOST, execution = Execution.UNKNOWN) else refusal

    private fun lost(result: AttemptResult.Lost): Refusal =
        Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, result.cause)

    private fun timedOut(): Refusal =
        Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "the target did not answer in time")

    private fun exhausted(): Refusal =
        Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "every target that was tried is full", RETRY_AFTER_MS)

    private companion object {
        private const val MAX_SENDS = 5

        /** A program waits for its start for this part of its route's latency objective. */
        private const val START_WAIT_DIVISOR = 4
        private const val RETRY_AFTER_MS = 200L
    }
}
