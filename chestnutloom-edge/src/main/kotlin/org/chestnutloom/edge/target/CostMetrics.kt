package org.chestnutloom.edge.target

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import org.chestnutloom.time.Clock

/** Publishes the errors of predicted request times by route, and the range of learned target speeds by service. */
internal class CostMetrics(
    private val registry: MeterRegistry,
    private val clock: Clock,
) {
    private val errorsByRoute = HashMap<String, PredictionErrors>()

    /** Returns the errors of requests of [route]. */
    fun errorsOf(route: String): PredictionErrors = errorsByRoute.getOrPut(route) { registerErrors(route) }

    /** Publishes the learned time factors of the targets of [service]. */
    fun registerService(
        service: String,
        costs: ServiceCosts,
    ) {
        val fastest = Tags.of("service", service, "target", "fastest")
        val slowest = Tags.of("service", service, "target", "slowest")
        registry.gauge("chestnutloom.edge.cost.factor", fastest, costs) { it.timeFactors()?.start ?: 1.0 }
        registry.gauge("chestnutloom.edge.cost.factor", slowest, costs) { it.timeFactors()?.endInclusive ?: 1.0 }
    }

    private fun registerErrors(route: String): PredictionErrors {
        val errors = PredictionErrors(route, clock)
        val median = Tags.of("route", route, "quantile", "0.5")
        val high = Tags.of("route", route, "quantile", "0.9")
        registry.gauge("chestnutloom.edge.cost.error", median, errors) { it.quantile(PredictionErrors.MEDIAN) }
        registry.gauge("chestnutloom.edge.cost.error", high, errors) { it.quantile(PredictionErrors.HIGH) }
        return errors
    }
}
