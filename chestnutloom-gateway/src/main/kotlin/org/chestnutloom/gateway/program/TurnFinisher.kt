package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.call.Usage
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.call.CallResult
import org.chestnutloom.gateway.call.SidecarNotifier
import org.chestnutloom.gateway.control.Durability
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.Cost
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.ProgramState
import org.chestnutloom.program.TurnIntent
import org.chestnutloom.program.TurnRecord
import org.chestnutloom.program.abortTurn
import org.chestnutloom.program.completeTurn
import org.chestnutloom.program.completeTurnAsUnknown
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.ForwardedAnswer

private val logger = KotlinLogging.logger {}

/** Stores the results of turns and delivers their answers to waiting requests. */
internal class TurnFinisher(
    private val registry: ProgramTreeRegistry,
    private val ender: ProgramEnder,
    private val notifier: SidecarNotifier,
    private val clock: Clock,
) {
    /** Stores the complete answer of [turn], then delivers it. */
    suspend fun complete(
        tree: ProgramTree,
        program: ProgramId,
        turn: RunningTurn,
        result: CallResult.Answered,
    ) = finish(tree, program, turn) { record, intent ->
        val answer = result.answer
        val completed = record.completeTurn(actualCost(intent, answer.usage), nowMs())
        val outcome = turnRecord(intent, turn, answer)
        val changed = completed.servedBy(intent, result, answer)
        val durability = persist(tree, changed, outcome).getOrElse { return@finish refusedAnswer(asUnknown(it)) }
        if (durability == Durability.DURABLE) notifier.forget(result.sidecar, result.id)
        jsonAnswer(outcome.toJson())
    }

    /** Ends [turn] with [refusal], which is stored as final if the call is non-idempotent and may have run. */
    suspend fun refuse(
        tree: ProgramTree,
        program: ProgramId,
        turn: RunningTurn,
        refusal: Refusal,
    ) = finish(tree, program, turn) { record, intent ->
        val isFinal = !intent.idempotent && refusal.execution != Execution.NOT_RUN
        val changed = if (isFinal) completeUnanswered(record, refusal) else abort(record, intent, refusal)
        val outcome = if (isFinal) unansweredRecord(intent, refusal) else null
        val isUnchanged = intent.idempotent && changed.held == record.held && record.state == ProgramState.OPEN
        if (!isUnchanged) persist(tree, changed, outcome)
        tree.put(changed)
        refusedAnswer(refusal)
    }

    private suspend fun finish(
        tree: ProgramTree,
        program: ProgramId,
        turn: RunningTurn,
        end: suspend (ProgramRecord, TurnIntent) -> ForwardedAnswer,
    ) {
        val answer =
            tree.mutex.withLock {
                val record = tree.load(program).getOrNull()
                val intent = record?.openTurn
                tree.running.remove(program)
                if (record == null || intent == null) {
                    refusedAnswer(asUnknown(ProgramStore.notOwner()))
                } else {
                    end(record, intent)
                }
            }
        turn.finish(answer)
        answer.refusal?.let { logRefusal(program, turn, it) }
    }

    private suspend fun persist(
        tree: ProgramTree,
        changed: ProgramRecord,
        outcome: TurnRecord?,
    ): Either<Refusal, Durability> {
        val records = ender.withChangedAncestors(tree, changed)
        return tree
            .commitOrBuffer(records, outcome)
            .onRight { records.forEach(ender::notifyEnd) }
            .onLeft { registry.discard(tree) }
    }

    private fun completeUnanswered(
        record: ProgramRecord,
        refusal: Refusal,
    ): ProgramRecord {
        val ran = refusal.execution == Execution.RAN
        return if (ran) record.completeTurn(Cost(calls = 1), nowMs()) else record.completeTurnAsUnknown(nowMs())
    }

    private fun abort(
        record: ProgramRecord,
        intent: TurnIntent,
        refusal: Refusal,
    ): ProgramRecord {
        val costsNothing = refusal.execution == Execution.NOT_RUN || refusal.code == RefusalCode.TARGET_LOST
        val aborted = record.abortTurn()
        return if (costsNothing) aborted else aborted.copy(held = aborted.held + intent.reserved)
    }

    private fun ProgramRecord.servedBy(
        intent: TurnIntent,
        result: CallResult.Answered,
        answer: CallEnded,
    ): ProgramRecord {
        val target = result.sidecar.id
        val served = copy(servedBy = servedBy - target + target, serviceMs = serviceMs + answer.serviceMs)
        if (intent.kind != CallKind.MODEL) return served
        val tokens = answer.usage.promptTokens + answer.usage.completionTokens
        return served.copy(lastModelTarget = target, lastPromptTokens = tokens)
    }

    private fun actualCost(
        intent: TurnIntent,
        usage: Usage,
    ): Cost = if (intent.kind == CallKind.MODEL) Cost(usage.totalTokens, 1) else Cost(calls = 1)

    private fun turnRecord(
        intent: TurnIntent,
        turn: RunningTurn,
        answer: CallEnded,
    ): TurnRecord =
        TurnRecord(
            turnNumber = intent.turnNumber,
            bodyHash = intent.bodyHash,
            kind = intent.kind,
            callee = intent.callee,
            status = answer.status,
            answer = parsed(answer.body),
            events = turn.events(),
            usage = answer.usage,
        )

    private fun unansweredRecord(
        intent: TurnIntent,
        refusal: Refusal,
    ): TurnRecord =
        TurnRecord(
            turnNumber = intent.turnNumber,
            bodyHash = intent.bodyHash,
            kind = intent.kind,
            callee = intent.callee,
            status = 0,
            answer = null,
            events = emptyList(),
            usage = Usage(),
            refusal = refusal,
        )

    private fun parsed(body: String): JsonElement =
        try {
            Json.parseToJsonElement(body)
        } catch (_: SerializationException) {
            JsonPrimitive(body)
        }

    private fun asUnknown(refusal: Refusal): Refusal = refusal.copy(execution = Execution.UNKNOWN)

    private fun logRefusal(
        program: ProgramId,
        turn: RunningTurn,
        refusal: Refusal,
    ) {
        val fields = arrayOf("program" to program, "turn" to turn.number, "code" to refusal.code.wireName)
        logger.warnEvent("turn_refused", *fields, "execution" to refusal.execution)
    }

    private fun nowMs(): Long = clock.now().toEpochMilli()
}
