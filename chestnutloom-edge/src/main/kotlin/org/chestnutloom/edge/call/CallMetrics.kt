package org.chestnutloom.edge.call

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.chestnutloom.edge.config.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

/** Counts requests by outcome, and how long they took by kind of route. */
internal class CallMetrics(
    private val registry: MeterRegistry,
) {
    private val timers = RouteKind.entries.associateWith(::timer)

    /** Counts the request of [trace], which took [duration]. */
    fun record(
        trace: RequestLogContext,
        duration: Duration,
    ) {
        registry
            .counter(
                "chestnutloom.edge.requests",
                "route",
                trace.route?.name ?: "none",
                "status",
                trace.status.toString(),
                "outcome",
                trace.outcome,
            ).increment()
        trace.route?.let { timers.getValue(it.kind).record(duration.toJavaDuration()) }
    }

    private fun timer(kind: RouteKind): Timer =
        Timer
            .builder("chestnutloom.edge.request.time")
            .description("time from a request's last byte to the end of its answer")
            .tag("kind", kind.name.lowercase())
            .serviceLevelObjectives(*BUCKETS.map { it.toJavaDuration() }.toTypedArray())
            .register(registry)

    private companion object {
        private val BUCKETS = listOf(50, 100, 200, 500, 1_000, 2_000, 4_000).map { it.milliseconds }
    }
}
