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
 * Runs calls that must not be repeated.
 *
 * Before such a call leaves, the program's record durably names the sidecar, its incarnation and the call's id. The call
 * goes to another sidecar only when it is certain that it did not run and never will under its id.
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
        var last = CallRunner.noTarget()
        repeat(MAX_SIDECARS) {
            runner.checkSendable(plan)?.let { return CallResult.Refused(it) }
            val sidecar = runner.selectSidecar(plan, excluded) ?: return CallResult.Refused(last)
            val incarnation = sidecar.incarnation ?: return CallResult.Refused(last)
            val id = CallId("${plan.id.value}.${UUID.randomUUID()}")
            val sent = intent.copy(call = id, target = sidecar.id, incarnation = incarnation)
            recordIntent(tree, plan, sent).onLeft { return CallResult.Refused(it) }
            val outcome = send(plan, id, sidecar, incarnation)
            if (outcome is AttemptOutcome.Ended) return CallResult.Answered(outcome.answer, sidecar, id)
            last = CallRunner.refusalOf(outcome)
            if (!isSafeOnAnotherSidecar(last)) return CallResult.Refused(last)
            excluded += sidecar.id
        }
        return CallResult.Refused(last)
    }

    /** Finds out what became of [orphan], which an earlier owner of [program] sent, and ends its turn. */
    suspend fun recover(
        tree: ProgramTree,
        program: ProgramId,
        orphan: TurnIntent,
        turn: RunningTurn,
    ) {
        val sidecar = orphan.target?.let { awaitListed(it) }
        val outcome =
            when {
                orphan.incarnation == null -> AttemptOutcome.NotRun("the call was not sent")
                sidecar == null -> AttemptOutcome.Lost("the sidecar's VM is gone")
                else -> runner.recover(orphan.call, sidecar, orphan.incarnation)
            }
        logger.event("turn_recovered", "program" to program, "turn" to turn.number, "outcome" to outcome.name())
        if (outcome is AttemptOutcome.Ended && sidecar != null) {
            finisher.complete(tree, program, turn, CallResult.Answered(outcome.answer, sidecar, orphan.call))
        } else {
            finisher.refuse(tree, program, turn, CallRunner.refusalOf(outcome))
        }
    }

    /** Waits for [target] to be on the platform's list, which may lag, and returns its sidecar, or null. */
    private suspend fun awaitListed(target: TargetId): Sidecar? =
        withTimeoutOrNull(LISTING_TIMEOUT) {
            var sidecar = findSidecar(target)
            while (sidecar == null) {
                delay(LISTING_CHECK)
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
        if (sidecar.incarnation != incarnation) return AttemptOutcome.NotRun("the sidecar restarted before the call")
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
        val LISTING_CHECK = 100.milliseconds
    }
}
