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

/** Turns the way in which a target's answer ended into the last reply of its call. */
internal object EndReplies {
    /** Returns the last reply of [record], whose answer ended with [event] after [serviceMs] milliseconds. */
    fun of(
        record: CallRecord,
        event: TargetEvent,
        serviceMs: Long,
    ): LinkReply =
        when (event) {
            is TargetEvent.Answer -> answered(record, event, serviceMs)
            TargetEvent.StreamEnd -> streamed(record, serviceMs)
            is TargetEvent.Chunk -> CallRefused(Refusals.internal)
            is TargetEvent.Failed -> refused(record, refusalFor(event.failure))
        }

    private fun answered(
        record: CallRecord,
        answer: TargetEvent.Answer,
        serviceMs: Long,
    ): LinkReply {
        val isEngine = record.request.kind == CallKind.MODEL
        if (isEngine && answer.status >= SERVER_ERROR) return CallRefused(targetError(answer.status))
        val usage = if (isEngine) CompletionAssembler.usageOf(listOf(answer.body)) else Usage()
        return CallEnded(answer.status, answer.contentType, answer.body, chunks = 0, usage, serviceMs)
    }

    private fun streamed(
        record: CallRecord,
        serviceMs: Long,
    ): LinkReply {
        val chunks = record.current.chunks
        val body = CompletionAssembler.assemble(chunks)
        return CallEnded(OK, JSON, body, chunks.size, CompletionAssembler.usageOf(chunks), serviceMs)
    }

    private fun refusalFor(failure: TargetFailure): Refusal =
        when (failure) {
            is TargetFailure.NotSent -> Refusals.notRun(RefusalCode.NO_TARGET, "The target takes no connections.")
            is TargetFailure.Unsendable -> Refusals.badRequest
            TargetFailure.Silent -> Refusals.targetLost
            is TargetFailure.Lost -> Refusals.targetLost
            TargetFailure.UnknownRequest -> Refusals.targetLost
            TargetFailure.AnswerTooLarge -> Refusals.answerTooLarge
        }

    private fun targetError(status: Int): Refusal =
        Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The target answered with status $status.")

    /** Returns [refusal] as the last reply; a call that has sent a part of its answer did run. */
    fun refused(
        record: CallRecord,
        refusal: Refusal,
    ): CallRefused {
        val hasAnswered = record.current.chunks.isNotEmpty()
        return CallRefused(if (hasAnswered) refusal.copy(execution = Execution.RAN) else refusal)
    }

    private const val OK = 200
    private const val SERVER_ERROR = 500
    private const val JSON = "application/json"
}
