package org.chestnutloom.gateway.control

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Registers the gauges of the control plane. */
internal object ControlMetrics {
    fun register(
        metrics: MeterRegistry,
        components: ControlComponents,
    ) {
        gauge(metrics, "chestnutloom.control.proof.age.ms") { components.proof.ageMs()?.toDouble() ?: Double.NaN }
        gauge(metrics, "chestnutloom.control.slots.owned") {
            components.slots
                .ownedSlots()
                .size
                .toDouble()
        }
        gauge(metrics, "chestnutloom.control.journal.pending") { components.journal.pendingCount.toDouble() }
        gauge(metrics, "chestnutloom.control.config.version") { components.head.configVersion.toDouble() }
        gauge(metrics, "chestnutloom.control.key.version") { components.head.keyVersion.toDouble() }
    }

    private fun gauge(
        metrics: MeterRegistry,
        name: String,
        value: () -> Double,
    ) {
        Gauge.builder(name) { value() }.register(metrics)
    }
}
