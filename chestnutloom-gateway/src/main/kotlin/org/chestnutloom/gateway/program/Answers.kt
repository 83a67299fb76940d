package org.chestnutloom.gateway.program

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.program.Cost
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.TurnRecord
import org.chestnutloom.wire.message.ForwardedAnswer

private const val STATUS_OK = 200

/** Returns an answer with [refusal] and its HTTP status. */
internal fun refusedAnswer(refusal: Refusal): ForwardedAnswer = ForwardedAnswer(refusal.code.httpStatus, "", refusal)

/** Returns a JSON answer with [body] and HTTP status [status]. */
internal fun jsonAnswer(
    body: JsonElement,
    status: Int = STATUS_OK,
): ForwardedAnswer = ForwardedAnswer(status, body.toString())

/** Returns the refusal for a program that does not exist or belongs to another client account. */
internal fun noSuchProgram(): Refusal = Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "There is no such program.")

/** Returns the API's JSON representation of this program, with the turns in [history] unless it is null. */
internal fun ProgramRecord.toJson(
    nowMs: Long,
    history: List<TurnRecord>? = null,
): JsonObject =
    buildJsonObject {
        put("id", id.value)
        put("state", state.name.lowercase())
        put("budget", costJson(Cost(budget.tokens, budget.calls), budget.wallTimeMs))
        put("spent", costJson(spent, (nowMs - openedAtMs).coerceAtLeast(0)))
        put("reserved", costJson(reserved, null))
        put("last_turn", lastTurn)
        put("open_turn", openTurn?.turnNumber)
        put("children", buildJsonArray { granted.keys.forEach { add(JsonPrimitive(it.value)) } })
        if (history != null) put("history", buildJsonArray { history.forEach { add(it.toJson()) } })
    }

/** Returns the API's JSON representation of this turn. */
internal fun TurnRecord.toJson(): JsonObject =
    buildJsonObject {
        put("turn", turnNumber)
        put("kind", kind.name.lowercase())
        put("callee", callee)
        put("status", status)
        if (answer != null) put("body", answer ?: JsonObject(emptyMap()))
        if (kind == CallKind.MODEL) putJsonObject("usage") { putUsage(this@toJson) }
        val refused = refusal
        if (refused != null) putJsonObject("error") { putRefusal(refused) }
    }

private fun JsonObjectBuilder.putUsage(turn: TurnRecord) {
    put("prompt_tokens", turn.usage.promptTokens)
    put("cached_tokens", turn.usage.cachedTokens)
    put("completion_tokens", turn.usage.completionTokens)
}

private fun JsonObjectBuilder.putRefusal(refusal: Refusal) {
    put("code", refusal.code.wireName)
    put("message", refusal.detail)
    put("execution", refusal.execution.name.lowercase())
}

private fun costJson(
    cost: Cost,
    wallTimeMs: Long?,
): JsonObject =
    buildJsonObject {
        put("tokens", cost.tokens)
        put("calls", cost.calls)
        if (wallTimeMs != null) put("wall_time_ms", wallTimeMs)
    }
