package org.chestnutloom.edge.fleet

import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer

/** Records the datagrams that this gateway exchanges with the others, and the time spent on those received. */
internal class DatagramMetrics(
    registry: MeterRegistry,
) {
    private val sentBytes = sizeOf(registry, "sent")
    private val receivedBytes = sizeOf(registry, "received")
    private val malformed = registry.counter("chestnutloom.edge.peer.datagrams.malformed")
    private val handling =
        Timer
            .builder("chestnutloom.edge.peer.datagram.time")
            .description("time from the receipt of a datagram to the end of its effects")
            .register(registry)

    /** Records a sent datagram of [bytes]. */
    fun recordSent(bytes: Int) {
        sentBytes.record(bytes.toDouble())
    }

    /** Records a received datagram of [bytes] and the time that [handle] takes. */
    fun recordReceived(
        bytes: Int,
        handle: () -> Unit,
    ) {
        receivedBytes.record(bytes.toDouble())
        handling.record(handle)
    }

    /** Records a received datagram that could not be decoded. */
    fun recordMalformed() {
        malformed.increment()
    }

    private fun sizeOf(
        registry: MeterRegistry,
        direction: String,
    ): DistributionSummary =
        DistributionSummary
            .builder("chestnutloom.edge.peer.datagram.size")
            .description("datagrams exchanged with other gateways")
            .baseUnit("bytes")
            .tag("direction", direction)
            .register(registry)
}
