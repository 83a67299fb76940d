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
import org.chestnutloom.gateway.call.SidecarNotices
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

/** Records how turns end and hands their answers to those who wait. */
internal class TurnFinisher(
    private val registry: FamilyRegistry,
    private val ender: ProgramEnder,
    private val notices: SidecarNotices,
    private val clock: Clock,
) {
    /** Records the whole answer of [turn] and then hands it out. */
    suspend fun answered(
        family: Family,
        program: ProgramId,
        turn: RunningTurn,
        result: CallResult.Answered,
    ) = finish(family, program, turn) { record, intent ->
        val answer = result.answer
        val settled = record.completeTurn(actualCost(intent, answer.usage), nowMs())
        val outcome = turnRecord(intent, turn, answer)
        val changed = settled.servedBy(intent, result, answer)
        val isDurable = persist(family, changed, outcome).getOrElse { return@finish refusedAnswer(ranHere(it)) }
        if (isDurable == Durability.DURABLE) notices.forget(result.sidecar, result.id)
        jsonAnswer(outcome.toJson())
    }

    /** Ends [turn] with [refusal]; it is final when the call is non-idempotent and may have run. */
    suspend fun refused(
        family: Family,
        program: ProgramId,
        turn: RunningTurn,
        refusal: Refusal,
    ) = finish(family, program, turn) { record, intent ->
        val isFinal = !intent.idempotent && refusal.execution != Execution.NOT_RUN
        val changed = if (isFinal) endUnanswered(record, refusal) else release(record, intent, refusal)
        val outcome = if (isFinal) unanswered(intent, refusal) else null
        val isKept = intent.idempotent && changed.held == record.held && record.state == ProgramState.OPEN
        if (!isKept) persist(family, changed, outcome)
        family.put(changed)
        refusedAnswer(refusal)
    }

    private suspend fun finish(
        family: Family,
        program: ProgramId,
        turn: RunningTurn,
        end: suspend (ProgramRecord, TurnIntent) -> ForwardedAnswer,
    ) {
        val answer =
            family.mutex.withLock {
                val record = family.load(program).getOrNull()
                val intent = record?.openTurn
                family.running.remove(program)
                if (record == null || intent == null) {
                    refusedAnswer(ranHere(ProgramStore.notOwner()))
                } else {
                    end(record, intent)
                }
            }
        turn.finish(answer)
        answer.refusal?.let { logRefusal(program, turn, it) }
    }

    private suspend fun persist(
        family: Family,
        changed: ProgramRecord,
        outcome: TurnRecord?,
    ): Either<Refusal, Durability> {
        val records = ender.withParents(family, changed)
        return family
            .commitOrKeep(records, outcome)
            .onRight { records.forEach(ender::announceEnd) }
            .onLeft { registry.discard(family) }
    }

    private fun endUnanswered(
        record: ProgramRecord,
        refusal: Refusal,
    ): ProgramRecord {
        val ran = refusal.execution == Execution.RAN
        return if (ran) record.completeTurn(Cost(calls = 1), nowMs()) else record.completeTurnAsUnknown(nowMs())
    }

    private fun release(
        record: ProgramRecord,
        intent: TurnIntent,
        refusal: Refusal,
    ): ProgramRecord {
        val isFree = refusal.execution == Execution.NOT_RUN || refusal.code == RefusalCode.TARGET_LOST
        val released = record.abortTurn()
        return if (isFree) released else released.copy(held = released.held + intent.reserved)
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

    private fun unanswered(
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

    private fun ranHere(refusal: Refusal): Refusal = refusal.copy(execution = Execution.UNKNOWN)

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
