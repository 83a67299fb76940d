package org.chestnutloom.edge

import io.micrometer.core.instrument.MeterRegistry
import org.chestnutloom.edge.http.BodyMemory
import org.chestnutloom.edge.turn.TurnMemory

/** Divides the heap of [maxBytes] among what a gateway holds for its callers. */
internal class EdgeMemory(
    maxBytes: Long = Runtime.getRuntime().maxMemory(),
) {
    val bodies = BodyMemory(maxBytes / BODIES_DIVISOR)
    val turns = TurnMemory(maxBytes / TURNS_DIVISOR * TURNS_FACTOR)

    fun registerGauges(metrics: MeterRegistry) {
        metrics.gauge("chestnutloom.edge.bodies.bytes", bodies) { it.reservedBytes.toDouble() }
        metrics.gauge("chestnutloom.edge.bodies.refused", bodies) { it.refusedCount.toDouble() }
        metrics.gauge("chestnutloom.edge.chains.bytes", turns) { it.heldBytes.toDouble() }
        metrics.gauge("chestnutloom.edge.chains.refused", turns) { it.refusedCount.toDouble() }
    }

    private companion object {
        /** Each byte of a body is in memory up to three times while its request is read and forwarded. */
        const val BODIES_DIVISOR = 6
        const val TURNS_FACTOR = 3
        const val TURNS_DIVISOR = 8
    }
}
