package org.chestnutloom.sidecar.call

import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.call.Usage
import org.chestnutloom.sidecar.target.CompletionAssembler
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetFailure
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.LinkReply

/** Maps the end of a target's response to the final reply of its call. */
internal object FinalReplies {
    /** Returns the final reply of [record], whose response ended with [event] after [serviceMs] milliseconds. */
    fun of(
        record: CallRecord,
        event: TargetEvent,
        serviceMs: Long,
    ): LinkReply =
        when (event) {
            is TargetEvent.Response -> plainReply(record, event, serviceMs)
            TargetEvent.StreamEnd -> streamReply(record, serviceMs)
            is TargetEvent.Chunk -> CallRefused(Refusals.internal)
            is TargetEvent.Failed -> refusedReply(record, refusalFor(event.failure))
        }

    private fun plainReply(
        record: CallRecord,
        response: TargetEvent.Response,
        serviceMs: Long,
    ): LinkReply {
        val isEngine = record.request.kind == CallKind.MODEL
        if (isEngine && response.status >= MIN_SERVER_ERROR) return CallRefused(targetError(response.status))
        val usage = if (isEngine) CompletionAssembler.usageOf(listOf(response.body)) else Usage()
        return CallEnded(response.status, response.contentType, response.body, chunks = 0, usage, serviceMs)
    }

    private fun streamReply(
        record: CallRecord,
        serviceMs: Long,
    ): LinkReply {
        val chunks = record.current.chunks
        val body = CompletionAssembler.assemble(chunks)
        return CallEnded(STATUS_OK, JSON_TYPE, body, chunks.size, CompletionAssembler.usageOf(chunks), serviceMs)
    }

    private fun refusalFor(failure: TargetFailure): Refusal =
        when (failure) {
            is TargetFailure.NotSent -> Refusals.notRun(RefusalCode.NO_TARGET, "The target is unreachable.")
            is TargetFailure.InvalidRequest -> Refusals.badRequest
            TargetFailure.Unresponsive -> Refusals.targetLost
            is TargetFailure.Lost -> Refusals.targetLost
            TargetFailure.UnknownRequest -> Refusals.targetLost
            TargetFailure.ResponseTooLarge -> Refusals.responseTooLarge
        }

    private fun targetError(status: Int): Refusal =
        Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The target returned status $status.")

    /** Returns [refusal] as the final reply; a call with a partial answer is reported as run. */
    fun refusedReply(
        record: CallRecord,
        refusal: Refusal,
    ): CallRefused {
        val hasChunks = record.current.chunks.isNotEmpty()
        return CallRefused(if (hasChunks) refusal.copy(execution = Execution.RAN) else refusal)
    }

    private const val STATUS_OK = 200
    private const val MIN_SERVER_ERROR = 500
    private const val JSON_TYPE = "application/json"
}
