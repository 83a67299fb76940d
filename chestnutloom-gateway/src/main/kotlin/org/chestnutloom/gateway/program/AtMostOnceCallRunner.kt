package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.gateway.call.AttemptOutcome
import org.chestnutloom.gateway.call.CallPlan
import org.chestnutloom.gateway.call.CallResult
import org.chestnutloom.gateway.call.CallRunner
import org.chestnutloom.gateway.call.Sidecar
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.program.ProgramState
import org.chestnutloom.program.TurnIntent
import org.chestnutloom.program.endedRefusal
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Runs non-idempotent calls at most once.
 *
 * Before a call is sent, the sidecar, its incarnation and the call id are stored durably in the program's record. The
 * call is sent to another sidecar only if it certainly did not run and can no longer run under its id.
 */
internal class AtMostOnceCallRunner(
    private val runner: CallRunner,
    private val finisher: TurnFinisher,
    private val findSidecar: (TargetId) -> Sidecar?,
) {
    /** Runs [plan] for the turn of [intent] at most once. */
    suspend fun run(
        tree: ProgramTree,
        intent: TurnIntent,
        plan: CallPlan,
    ): CallResult {
        val excluded = mutableSetOf<TargetId>()
        var lastRefusal = CallRunner.noTarget()
        repeat(MAX_SIDECARS) {
            runner.checkSendable(plan)?.let { return CallResult.Refused(it) }
            val sidecar = runner.selectSidecar(plan, excluded) ?: return CallResult.Refused(lastRefusal)
            val incarnation = sidecar.incarnation ?: return CallResult.Refused(lastRefusal)
            val id = CallId("${plan.id.value}.${UUID.randomUUID()}")
            val sent = intent.copy(call = id, target = sidecar.id, incarnation = incarnation)
            recordIntent(tree, plan, sent).onLeft { return CallResult.Refused(it) }
            val outcome = send(plan, id, sidecar, incarnation)
            if (outcome is AttemptOutcome.Ended) return CallResult.Answered(outcome.answer, sidecar, id)
            lastRefusal = CallRunner.refusalOf(outcome)
            if (!isSafeOnAnotherSidecar(lastRefusal)) return CallResult.Refused(lastRefusal)
            excluded += sidecar.id
        }
        return CallResult.Refused(lastRefusal)
    }

    /** Determines the outcome of [orphan], which an earlier owner of [program] sent, and ends its turn. */
    suspend fun recover(
        tree: ProgramTree,
        program: ProgramId,
        orphan: TurnIntent,
        turn: RunningTurn,
    ) {
        val sidecar = orphan.target?.let { awaitListed(it) }
        val outcome =
            when {
                orphan.incarnation == null -> AttemptOutcome.NotRun("The call was not sent.")
                sidecar == null -> AttemptOutcome.Lost("The sidecar's VM is not listed.")
                else -> runner.recover(orphan.call, sidecar, orphan.incarnation)
            }
        logger.event("turn_recovered", "program" to program, "turn" to turn.number, "outcome" to outcome.name())
        if (outcome is AttemptOutcome.Ended && sidecar != null) {
            finisher.complete(tree, program, turn, CallResult.Answered(outcome.answer, sidecar, orphan.call))
        } else {
            finisher.refuse(tree, program, turn, CallRunner.refusalOf(outcome))
        }
    }

    /** Waits for [target] to appear in the VM list, which may be stale; returns its sidecar, or null if it does not. */
    private suspend fun awaitListed(target: TargetId): Sidecar? =
        withTimeoutOrNull(LISTING_TIMEOUT) {
            var sidecar = findSidecar(target)
            while (sidecar == null) {
                delay(LISTING_CHECK_INTERVAL)
                sidecar = findSidecar(target)
            }
            sidecar
        }

    private suspend fun send(
        plan: CallPlan,
        id: CallId,
        sidecar: Sidecar,
        incarnation: Incarnation,
    ): AttemptOutcome {
        val refusal = runner.checkSendable(plan)
        if (refusal != null) return AttemptOutcome.Refused(refusal)
        if (sidecar.incarnation != incarnation) return AttemptOutcome.NotRun("The sidecar restarted before the call.")
        return runner.attempt(plan, id, 1, sidecar, incarnation) {}
    }

    private suspend fun recordIntent(
        tree: ProgramTree,
        plan: CallPlan,
        intent: TurnIntent,
    ): Either<Refusal, Unit> =
        tree.mutex.withLock {
            val program = plan.program ?: return@withLock Unit.right()
            val record = tree.load(program).getOrNull() ?: return@withLock ProgramStore.notOwner().left()
            if (record.state != ProgramState.OPEN) return@withLock record.endedRefusal().left()
            val changed = record.copy(openTurn = intent)
            tree.commit(listOf(changed))
        }

    private fun isSafeOnAnotherSidecar(refusal: Refusal): Boolean =
        refusal.execution == Execution.NOT_RUN &&
            refusal.code in setOf(RefusalCode.TARGET_LOST, RefusalCode.OVERLOADED, RefusalCode.STOPPING)

    private fun AttemptOutcome.name(): String = this::class.simpleName.orEmpty()

    private companion object {
        const val MAX_SIDECARS = 4
        val LISTING_TIMEOUT = 15.seconds
        val LISTING_CHECK_INTERVAL = 100.milliseconds
    }
}
