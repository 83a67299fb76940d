package org.chestnutloom.edge.call

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.chestnutloom.edge.config.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

/** Records request counts by outcome and request durations by route kind. */
internal class CallMetrics(
    private val registry: MeterRegistry,
) {
    private val timers = RouteKind.entries.associateWith(::timer)

    /** Records the request in [context] and its [duration]. */
    fun record(
        context: RequestLogContext,
        duration: Duration,
    ) {
        registry
            .counter(
                "chestnutloom.edge.requests",
                "route",
                context.route?.name ?: "none",
                "status",
                context.status.toString(),
                "outcome",
                context.outcome,
            ).increment()
        context.route?.let { timers.getValue(it.kind).record(duration.toJavaDuration()) }
    }

    private fun timer(kind: RouteKind): Timer =
        Timer
            .builder("chestnutloom.edge.request.time")
            .description("time from the last byte of a request to the end of its response")
            .tag("kind", kind.name.lowercase())
            .serviceLevelObjectives(*DURATION_BUCKETS.map { it.toJavaDuration() }.toTypedArray())
            .register(registry)

    private companion object {
        private val DURATION_BUCKETS = listOf(50, 100, 200, 500, 1_000, 2_000, 4_000).map { it.milliseconds }
    }
}
