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

/** Answers what other gateways ask of this one. */
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
            is ForwardRequest -> forwarded(request)
            else -> control.handle(peer, request) ?: flowOf(CallRefused(unsupported()))
        }

    private fun forwarded(request: ForwardRequest): Flow<LinkReply> {
        if (isStopping() && !router.isRunning(request.program)) return flowOf(refusedAnswer(stopping()))
        return router.acceptForwarded(request)
    }

    private fun stopping(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "the program's owner is stopping", RETRY_AFTER_MS)

    private fun unsupported(): Refusal =
        Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "a gateway does not answer this request")

    private companion object {
        const val RETRY_AFTER_MS = 100L
    }
}
