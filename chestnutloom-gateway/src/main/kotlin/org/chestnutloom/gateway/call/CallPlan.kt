package org.chestnutloom.gateway.call

import org.chestnutloom.call.CallKind
import org.chestnutloom.gateway.control.Caller
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.message.CallRequest
import kotlin.time.Duration

/**
 * A call to be sent to a target.
 *
 * @property id the call id of the first attempt
 * @property caller the authenticated caller, or null on open routes
 * @property body the body to send to the target, with access keys removed
 * @property lastTarget the target that ran the program's previous model call, or null
 * @property lastPromptTokens the number of prompt and completion tokens of that call
 */
internal data class CallPlan(
    val id: CallId,
    val kind: CallKind,
    val caller: Caller?,
    val accountWeight: Int,
    val program: ProgramId?,
    val ownerEpoch: Long,
    val idempotent: Boolean,
    val model: ModelName?,
    val service: String?,
    val method: String,
    val path: String,
    val body: String,
    val bodyHash: String,
    val stream: Boolean,
    val promptTokens: Long,
    val maxCompletionTokens: Long,
    val programServiceMs: Long,
    val queueTimeout: Duration,
    val runTimeout: Duration,
    val lastTarget: TargetId?,
    val lastPromptTokens: Long,
    val traceParent: String?,
    val contentType: String = "application/json",
) {
    /** Returns the request for attempt number [attempt] of this call, under the call id [id]. */
    fun toRequest(
        id: CallId,
        attempt: Int,
    ): CallRequest =
        CallRequest(
            id = id,
            attempt = attempt,
            ownerEpoch = ownerEpoch,
            kind = kind,
            idempotent = idempotent,
            program = program,
            account = caller?.account,
            key = caller?.key,
            accountWeight = accountWeight,
            model = model,
            service = service,
            method = method,
            path = path,
            contentType = contentType,
            body = body,
            bodyHash = bodyHash,
            stream = stream,
            promptTokens = promptTokens,
            maxCompletionTokens = maxCompletionTokens,
            programServiceMs = programServiceMs,
            queueTimeoutMs = queueTimeout.inWholeMilliseconds,
            runTimeoutMs = runTimeout.inWholeMilliseconds,
            traceParent = traceParent,
        )
}
