package org.chestnutloom.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.common.node.Node
import org.chestnutloom.common.node.NodeEndpoints
import org.chestnutloom.gateway.control.ControlPlane
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.wire.link.LinkServer
import org.chestnutloom.wire.link.PeerAddress

private val logger = KotlinLogging.logger {}

/** Starts and stops the components of a gateway in the required order. */
internal class GatewayNode(
    private val settings: GatewaySettings,
    private val control: ControlPlane,
    private val pipeline: RequestPipeline,
    private val linkServer: LinkServer,
    private val scope: CoroutineScope,
) : Node {
    @Volatile
    private var isStopping = false

    override val isReady: Boolean
        get() = !isStopping && control.isReady

    @Volatile
    override var endpoints: NodeEndpoints = NodeEndpoints(settings.http.port, settings.link.port)
        private set

    override suspend fun start() {
        val linkPort = linkServer.start()
        val address = settings.advertised ?: PeerAddress(settings.link.host, linkPort)
        control.start(address)
        val httpPort = pipeline.start()
        endpoints = NodeEndpoints(httpPort, linkPort)
        logger.event("gateway_started", "gateway" to settings.id, "http_port" to httpPort, "link_port" to linkPort)
    }

    override suspend fun stopGracefully() {
        isStopping = true
        pipeline.httpServer.isStopping = true
        if (settings.mechanisms.has(Mechanism.GRACEFUL_STOP)) drainRequests()
        pipeline.httpServer.stop()
        linkServer.stop()
        scope.cancel()
    }

    private suspend fun drainRequests() {
        logger.event("gateway_stopping", "under_way" to pipeline.inFlight.count)
        withTimeoutOrNull(settings.stopTimeout) { pipeline.inFlight.awaitZero() }
        control.stopGracefully()
        logger.event("gateway_stopped", "under_way" to pipeline.inFlight.count)
    }
}
