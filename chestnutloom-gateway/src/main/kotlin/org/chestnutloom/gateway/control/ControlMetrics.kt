package org.chestnutloom.gateway.control

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Registers the gauges of the control plane. */
internal object ControlMetrics {
    fun register(
        metrics: MeterRegistry,
        parts: ControlParts,
    ) {
        gauge(metrics, "chestnutloom.control.proof.age.ms") { parts.proof.ageMs()?.toDouble() ?: Double.NaN }
        gauge(metrics, "chestnutloom.control.slots.owned") {
            parts.slots
                .ownedSlots()
                .size
                .toDouble()
        }
        gauge(metrics, "chestnutloom.control.journal.pending") { parts.journal.pendingCount.toDouble() }
        gauge(metrics, "chestnutloom.control.config.version") { parts.head.configVersion.toDouble() }
        gauge(metrics, "chestnutloom.control.key.version") { parts.head.keyVersion.toDouble() }
    }

    private fun gauge(
        metrics: MeterRegistry,
        name: String,
        value: () -> Double,
    ) {
        Gauge.builder(name) { value() }.register(metrics)
    }
}
