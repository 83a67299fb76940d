package org.chestnutloom.edge

import io.micrometer.core.instrument.MeterRegistry
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.turn.TurnStore

/** Registers the gauges of what a gateway knows of the fleet, the store and the configuration. */
internal fun registerEdgeGauges(
    metrics: MeterRegistry,
    turns: TurnStore,
    fleet: Fleet,
    configurations: ConfigurationHolder,
    storeHealth: StoreHealth,
) {
    metrics.gauge("chestnutloom.edge.turns.unsaved", turns) { it.unsavedCount.toDouble() }
    metrics.gauge("chestnutloom.edge.fleet.size", fleet) { it.size.toDouble() }
    metrics.gauge("chestnutloom.edge.fleet.unresponsive", fleet) { it.unresponsiveCount.toDouble() }
    metrics.gauge("chestnutloom.edge.configuration.version", configurations) { (it.current?.version ?: 0).toDouble() }
    metrics.gauge("chestnutloom.edge.store.lost", storeHealth) { if (it.isFailing) 1.0 else 0.0 }
}
