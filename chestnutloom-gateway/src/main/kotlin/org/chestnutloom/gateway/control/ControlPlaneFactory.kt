package org.chestnutloom.gateway.control

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.Incarnation
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.VmList
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerLink

/** Creates the control plane of the gateway process [incarnation]; [linkFactory] creates links to other gateways. */
public fun controlPlane(
    settings: GatewaySettings,
    incarnation: Incarnation,
    clock: Clock,
    metrics: MeterRegistry,
    scope: CoroutineScope,
    table: TableStore,
    objects: ObjectStore,
    vms: VmList,
    decoder: DocumentDecoder,
    linkFactory: (address: PeerAddress, expectedId: String) -> PeerLink,
): ControlPlane {
    val dependencies = ControlDependencies(table, objects, vms, decoder, linkFactory)
    val components = ControlComponents(settings, incarnation, clock, scope, dependencies)
    return GatewayControlPlane(settings, metrics, scope, OwnAddress(), components)
}
