package org.chestnutloom.daemon

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/**
 * The metrics of one process: those that the node registers in [registry], and memory, threads, CPU, file descriptors
 * and uptime. The latter are added by the first [scrape], since they load the JVM's management classes.
 */
internal class ProcessMetrics {
    val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val bound by lazy { binders().forEach { it.bindTo(registry) } }

    /** Returns all metrics in the text format of Prometheus. */
    fun scrape(): String {
        bound
        return registry.scrape()
    }

    private fun binders() =
        listOf(
            JvmMemoryMetrics(),
            JvmThreadMetrics(),
            ProcessorMetrics(),
            FileDescriptorMetrics(),
            UptimeMetrics(),
        )
}
