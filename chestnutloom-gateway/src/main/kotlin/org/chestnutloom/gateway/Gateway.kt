package org.chestnutloom.gateway

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.job
import org.chestnutloom.common.node.Node
import org.chestnutloom.common.store.objectClient
import org.chestnutloom.common.store.tableClient
import org.chestnutloom.common.store.vmListClient
import org.chestnutloom.config.documentDecoder
import org.chestnutloom.gateway.control.ControlPlane
import org.chestnutloom.gateway.control.controlPlane
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.LinkOptions
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.link.linkServer
import org.chestnutloom.wire.link.peerLink
import java.util.UUID

/** Creates a gateway that runs in [scope] from [Node.start] until [Node.stopGracefully]. */
public fun gateway(
    settings: GatewaySettings,
    clock: Clock,
    metrics: MeterRegistry,
    tracer: Tracer,
    scope: CoroutineScope,
): Node = GatewayComposition(settings, clock, metrics, Tracing(tracer), scope).node()

/** Creates the components of a gateway and connects them. */
private class GatewayComposition(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val metrics: MeterRegistry,
    private val tracing: Tracing,
    outerScope: CoroutineScope,
) {
    private val context = outerScope.coroutineContext
    private val scope = CoroutineScope(context + SupervisorJob(context.job))
    private val incarnation = Incarnation(UUID.randomUUID().toString())
    private val self = PeerIdentity(settings.id.value, incarnation, PeerRole.GATEWAY)
    private val heartbeats = ControlHeartbeats()
    private val options =
        LinkOptions(
            heartbeatInterval = settings.heartbeatInterval,
            silenceTimeout = settings.linkSilenceTimeout,
            connectTimeout = settings.connectTimeout,
            mechanisms = settings.mechanisms,
        )

    fun node(): Node {
        val control = control()
        heartbeats.control = control
        val pipeline = pipeline(control)
        val handler = GatewayLinkHandler(control, pipeline.router) { pipeline.httpServer.isStopping }
        val server = linkServer(settings.link, self, handler, heartbeats, options, clock, scope)
        return GatewayNode(settings, control, pipeline, server, scope)
    }

    private fun control(): ControlPlane =
        controlPlane(
            settings = settings,
            incarnation = incarnation,
            clock = clock,
            metrics = metrics,
            scope = scope,
            table = tableClient(settings.tableUrl, settings.storeTimeout),
            objects = objectClient(settings.objectUrl),
            vms = vmListClient(settings.vmListUrl),
            decoder = documentDecoder(),
            linkFactory = ::link,
        )

    private fun pipeline(control: ControlPlane): RequestPipeline =
        RequestPipeline(
            settings = settings,
            control =
                ControlPlaneServices(
                    keys = control.keys,
                    settings = control.settings,
                    proof = control.proof,
                    admission = control.admission,
                    ownership = control.ownership,
                    journal = control.journal,
                    targets = control.targets,
                ),
            sidecarLinks = { link(PeerAddress(it.host, it.port), it.id) },
            heartbeats = heartbeats,
            tracing = tracing,
            metrics = metrics,
            clock = clock,
            scope = scope,
        )

    private fun link(
        address: PeerAddress,
        expectedId: String,
    ): PeerLink = peerLink(address, self, expectedId, heartbeats, options, clock, scope)

    private class ControlHeartbeats : HeartbeatSource {
        @Volatile
        var control: ControlPlane? = null

        override fun current(): Heartbeat = control?.heartbeat() ?: Heartbeat(0)
    }
}
