package org.chestnutloom.gateway.program

import org.chestnutloom.call.CallKind
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.gateway.body.TurnBody
import org.chestnutloom.gateway.body.crashHash
import org.chestnutloom.gateway.call.CallPlan
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.program.Cost
import org.chestnutloom.program.ProgramRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val COMPLETIONS_PATH = "/v1/chat/completions"
private const val ID_HASH_LENGTH = 16

/** Returns the maximum cost of a call with this body. */
internal fun TurnBody.maximumCost(): Cost =
    when (this) {
        is TurnBody.Model -> Cost(promptTokens + maxCompletionTokens, 1)
        is TurnBody.Tool -> Cost(0, 1)
    }

/** Whether the body calls a model or a tool. */
internal val TurnBody.kind: CallKind
    get() = if (this is TurnBody.Model) CallKind.MODEL else CallKind.TOOL

/** The name of the model or service that the body calls. */
internal val TurnBody.callee: String
    get() =
        when (this) {
            is TurnBody.Model -> model.value
            is TurnBody.Tool -> service
        }

/** Returns the call id of the first attempt of an idempotent turn, which is the same for every owner of the program. */
internal fun firstCallId(
    program: ProgramId,
    turnNumber: Int,
    body: TurnBody,
): CallId = CallId("${CallId.ofTurn(program, turnNumber).value}/${body.hash.take(ID_HASH_LENGTH)}")

/** The program that a call belongs to, at the time [nowMs] and in ownership epoch [epoch]. */
internal data class ProgramContext(
    val record: ProgramRecord,
    val epoch: Long,
    val nowMs: Long,
) {
    /** The time left until the program's deadline. */
    val remaining: Duration
        get() = (record.deadlineMs - nowMs).coerceAtLeast(1).milliseconds
}

/** Returns the plan of the call that [body] describes. */
internal fun planCall(
    id: CallId,
    body: TurnBody,
    caller: Caller?,
    context: ProgramContext?,
    settings: EnvironmentSettings,
    traceParent: String?,
): CallPlan {
    val limits = settings.limits
    val runLimit = if (body is TurnBody.Model) limits.modelRunTimeout else limits.toolRunTimeout
    val remaining = context?.remaining ?: Duration.INFINITE
    val content = content(body)
    return CallPlan(
        id = id,
        kind = body.kind,
        caller = caller,
        accountWeight = caller?.let { settings.accounts[it.account]?.weight } ?: 1,
        program = context?.record?.id,
        ownerEpoch = context?.epoch ?: 0,
        idempotent = body.idempotent,
        model = (body as? TurnBody.Model)?.model,
        service = (body as? TurnBody.Tool)?.service,
        method = (body as? TurnBody.Tool)?.method ?: "POST",
        path = (body as? TurnBody.Tool)?.path ?: COMPLETIONS_PATH,
        body = content,
        bodyHash = crashHash(caller?.account, content),
        stream = body.stream,
        promptTokens = (body as? TurnBody.Model)?.promptTokens ?: 0,
        maxCompletionTokens = (body as? TurnBody.Model)?.maxCompletionTokens ?: 0,
        programServiceMs = context?.record?.serviceMs ?: 0,
        queueTimeout = minOf(limits.queueTimeout, remaining),
        runTimeout = minOf(runLimit, remaining),
        lastTarget = lastModelTarget(body, context),
        lastPromptTokens = context?.record?.lastPromptTokens ?: 0,
        traceParent = traceParent,
    )
}

private fun content(body: TurnBody): String =
    when (body) {
        is TurnBody.Model -> body.request.toString()
        is TurnBody.Tool -> body.body?.toString().orEmpty()
    }

private fun lastModelTarget(
    body: TurnBody,
    context: ProgramContext?,
): TargetId? = if (body is TurnBody.Model) context?.record?.lastModelTarget else null
