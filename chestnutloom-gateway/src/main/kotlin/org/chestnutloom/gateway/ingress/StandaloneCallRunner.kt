package org.chestnutloom.gateway.ingress

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import org.chestnutloom.gateway.call.CallPlan
import org.chestnutloom.gateway.call.CallResult
import org.chestnutloom.gateway.call.CallRunner
import org.chestnutloom.gateway.call.SidecarNotifier
import org.chestnutloom.gateway.program.refusedAnswer
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply

/** Runs calls that belong to no program; cancelling the coroutine, as on a caller disconnect, cancels the call. */
internal class StandaloneCallRunner(
    private val runner: CallRunner,
    private val notifier: SidecarNotifier,
) {
    /** Runs [plan]. The flow emits any number of events, then one answer with the target's status and body. */
    fun stream(plan: CallPlan): Flow<LinkReply> =
        channelFlow {
            var index = 0
            val result = runner.runIdempotent(plan) { send(ForwardedEvent(index++, it)) }
            send(answerOf(result))
        }

    /** Runs [plan] and returns its result. */
    suspend fun run(plan: CallPlan): CallResult = runner.runIdempotent(plan) {}.also(::forget)

    private fun answerOf(result: CallResult): ForwardedAnswer {
        forget(result)
        return when (result) {
            is CallResult.Answered -> ForwardedAnswer(result.answer.status, result.answer.body)
            is CallResult.Refused -> refusedAnswer(result.refusal)
        }
    }

    private fun forget(result: CallResult) {
        if (result is CallResult.Answered) notifier.forget(result.sidecar, result.id)
    }
}
