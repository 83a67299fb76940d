package org.chestnutloom.sidecar

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.call.CallKind
import org.chestnutloom.common.engine.EngineClient
import org.chestnutloom.common.engine.engineClient
import org.chestnutloom.common.node.Node
import org.chestnutloom.id.Incarnation
import org.chestnutloom.sidecar.target.HttpTarget
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerRole
import java.util.UUID

/** Returns a sidecar, which runs beside one target, queues the calls to it and deduplicates them by id. */
public fun sidecar(
    settings: SidecarSettings,
    clock: Clock,
    metrics: MeterRegistry,
    tracer: Tracer,
    scope: CoroutineScope,
): Node {
    val ownScope = SidecarNode.childScope(scope)
    val incarnation = Incarnation(UUID.randomUUID().toString())
    val identity = PeerIdentity(settings.target.value, incarnation, PeerRole.SIDECAR)
    val target = HttpTarget(settings)
    val core = SidecarCore(settings, incarnation, target, engineOf(settings), clock, metrics, tracer, ownScope)
    val heartbeats = HeartbeatSource { Heartbeat(sequence = 0) }
    return SidecarNode(settings, identity, core, target, heartbeats, clock, ownScope)
}

private fun engineOf(settings: SidecarSettings): EngineClient? {
    if (settings.kind != CallKind.MODEL) return null
    return engineClient(settings.targetUrl, credential = settings.targetCredential)
}
