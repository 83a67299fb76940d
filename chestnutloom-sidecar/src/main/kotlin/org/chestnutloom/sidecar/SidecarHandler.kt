package org.chestnutloom.sidecar

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.sidecar.call.CallService
import org.chestnutloom.sidecar.config.AppliedTargetSettings
import org.chestnutloom.sidecar.dispatch.PeerFreshness
import org.chestnutloom.sidecar.load.LoadReporter
import org.chestnutloom.sidecar.order.OrderExecutor
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.LinkHandler
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.ApplyTargetSettings
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CancelCall
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.EndProgram
import org.chestnutloom.wire.message.ForgetCalls
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.OrderTarget
import org.chestnutloom.wire.message.QueryCall
import org.chestnutloom.wire.message.RunCall
import org.chestnutloom.wire.message.WatchLoad

/** Handles the link requests of gateways. */
internal class SidecarHandler(
    private val calls: CallService,
    private val freshness: PeerFreshness,
    private val reporter: LoadReporter,
    private val targetSettings: AppliedTargetSettings,
    private val orders: OrderExecutor,
) : LinkHandler {
    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply> =
        when (request) {
            is RunCall -> flow { emitAll(calls.run(peer, request)) }
            is AttachCall -> calls.attach(peer, request)
            is QueryCall -> reply { calls.query(request) }
            is CancelCall -> reply { calls.cancel(request.id) }
            is ForgetCalls -> done { calls.forget(request.ids) }
            is EndProgram -> done { calls.endProgram(request.program) }
            is ApplyTargetSettings -> done { apply(request) }
            is OrderTarget -> reply { orders.execute(request) }
            WatchLoad -> reporter.watch(peer)
            else -> flowOf(CallRefused(unsupported))
        }

    override fun onHeartbeat(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ) = freshness.record(peer, heartbeat)

    private fun apply(request: ApplyTargetSettings) {
        calls.withdraw(request.withdrawnKeys)
        if (targetSettings.apply(request.configVersion, request.document)) reporter.onChange()
    }

    private fun reply(block: suspend () -> LinkReply): Flow<LinkReply> = flow { emit(block()) }

    private fun done(block: suspend () -> Unit): Flow<LinkReply> =
        flow {
            block()
            emit(Done)
        }

    private companion object {
        val unsupported =
            Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "A sidecar does not support this request.")
    }
}
