package org.chestnutloom.gateway

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.control.ControlPlane
import org.chestnutloom.gateway.ingress.ProgramRouter
import org.chestnutloom.gateway.program.refusedAnswer
import org.chestnutloom.wire.link.LinkHandler
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.ForwardRequest
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** Handles the requests that other gateways send over their links. */
internal class GatewayLinkHandler(
    private val control: ControlPlane,
    private val router: ProgramRouter,
    private val isStopping: () -> Boolean,
) : LinkHandler {
    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply> =
        when (request) {
            is ForwardRequest -> handleForward(request)
            else -> control.handle(peer, request) ?: flowOf(CallRefused(unsupportedRefusal()))
        }

    private fun handleForward(request: ForwardRequest): Flow<LinkReply> {
        if (isStopping() && !router.isRunning(request.program)) return flowOf(refusedAnswer(stoppingRefusal()))
        return router.acceptForwarded(request)
    }

    private fun stoppingRefusal(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "The program's owner is shutting down.", RETRY_AFTER_MS)

    private fun unsupportedRefusal(): Refusal =
        Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "Gateways do not support this request type.")

    private companion object {
        const val RETRY_AFTER_MS = 100L
    }
}
