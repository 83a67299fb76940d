package org.chestnutloom.gateway.program

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.InFlightCounter
import org.chestnutloom.gateway.call.CallResult
import org.chestnutloom.gateway.call.CallRunner
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.gateway.trace.end
import org.chestnutloom.gateway.trace.traceParent
import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.program.Cost
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.TurnIntent
import org.chestnutloom.program.beginTurn
import org.chestnutloom.time.Clock
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Starts turns, which run to completion even if their caller disconnects. */
internal class TurnStarter(
    private val registry: ProgramTreeRegistry,
    private val ownership: OwnershipTable,
    private val runner: CallRunner,
    private val atMostOnceRunner: AtMostOnceCallRunner,
    private val finisher: TurnFinisher,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val mechanisms: Mechanisms,
    private val clock: Clock,
    private val inFlight: InFlightCounter,
    private val scope: CoroutineScope,
) {
    private val failedIds = FailedCallIds()

    /** Reserves the maximum cost of the turn and starts it; the mutex of [tree] must be held. */
    fun start(
        tree: ProgramTree,
        record: ProgramRecord,
        request: TurnRequest,
    ): Either<Refusal, RunningTurn> {
        val intent = intentOf(request)
        return record.beginTurn(intent, clock.now().toEpochMilli()).map { startedRecord ->
            val turn = RunningTurn(intent.turnNumber, isRecovery = false)
            tree.running[request.program] = turn
            tree.put(startedRecord)
            launch(tree, request.program, turn) { run(tree, startedRecord, intent, turn, request) }
            turn
        }
    }

    /** Starts recovering [orphan], which an earlier owner sent; the mutex of [tree] must be held. */
    fun recover(
        tree: ProgramTree,
        record: ProgramRecord,
        orphan: TurnIntent,
    ) {
        val turn = RunningTurn(orphan.turnNumber, isRecovery = true)
        tree.running[record.id] = turn
        launch(tree, record.id, turn) { atMostOnceRunner.recover(tree, record.id, orphan, turn) }
    }

    private fun launch(
        tree: ProgramTree,
        program: ProgramId,
        turn: RunningTurn,
        block: suspend () -> Unit,
    ) {
        ownership.beginRequest(program)
        inFlight.increment()
        scope.launch {
            try {
                registry.use(program, tree.epoch) { block() }
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                logFailure(program, turn, exception)
            } finally {
                turn.finish(refusedAnswer(interrupted()))
                ownership.endRequest(program)
                inFlight.decrement()
            }
        }
    }

    private fun logFailure(
        program: ProgramId,
        turn: RunningTurn,
        exception: Exception,
    ) {
        val fields = arrayOf("program" to program, "turn" to turn.number, "cause" to exception::class.simpleName)
        logger.warnEvent("turn_failed", *fields, "at" to exception.stackTrace.firstOrNull())
    }

    private suspend fun run(
        tree: ProgramTree,
        record: ProgramRecord,
        intent: TurnIntent,
        turn: RunningTurn,
        request: TurnRequest,
    ) {
        val span = tracing.start("turn", request.traceParent, "program" to request.program.value)
        span.setAttribute("turn", request.turnNumber.toLong())
        try {
            val startedAt = clock.elapsed()
            val context = ProgramContext(record, tree.epoch, clock.now().toEpochMilli())
            val parent = span.traceParent() ?: request.traceParent
            val plan = planCall(intent.call, request.body, request.caller, context, request.settings, parent)
            val result =
                if (intent.idempotent) {
                    runner.runIdempotent(plan.copy(idempotent = true)) { turn.emit(it) }
                } else {
                    atMostOnceRunner.run(tree, intent, plan)
                }
            if (result is CallResult.Refused) failedIds.add(firstCallId(request.program, turn.number, request.body))
            finish(tree, request.program, turn, result)
            recordDuration(request, clock.elapsed() - startedAt)
            span.end((result as? CallResult.Refused)?.refusal)
        } catch (exception: CancellationException) {
            span.end()
            throw exception
        }
    }

    private fun recordDuration(
        request: TurnRequest,
        duration: Duration,
    ) {
        val timer =
            metrics.timer(
                "chestnutloom.turns",
                "kind",
                request.body.kind.name
                    .lowercase(),
            )
        timer.record(duration.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private suspend fun finish(
        tree: ProgramTree,
        program: ProgramId,
        turn: RunningTurn,
        result: CallResult,
    ) = when (result) {
        is CallResult.Answered -> finisher.complete(tree, program, turn, result)
        is CallResult.Refused -> finisher.refuse(tree, program, turn, result.refusal)
    }

    private fun intentOf(request: TurnRequest): TurnIntent {
        val body = request.body
        return TurnIntent(
            turnNumber = request.turnNumber,
            bodyHash = body.hash,
            kind = body.kind,
            callee = body.callee,
            call = failedIds.usableId(firstCallId(request.program, request.turnNumber, body)),
            idempotent = body.idempotent || !mechanisms.has(Mechanism.DURABLE_INTENT),
            reserved = reservation(request),
        )
    }

    private fun reservation(request: TurnRequest): Cost =
        if (mechanisms.has(Mechanism.BUDGET_RESERVATION)) request.body.maximumCost() else Cost()

    private fun interrupted(): Refusal = Refusal(RefusalCode.INTERNAL, Execution.UNKNOWN, "The turn was interrupted.")
}
