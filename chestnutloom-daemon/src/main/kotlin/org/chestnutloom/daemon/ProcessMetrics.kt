package org.chestnutloom.daemon

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.FileDescriptorMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.core.instrument.binder.system.UptimeMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Returns a registry with metrics of the process: memory, threads, CPU, file descriptors and uptime. */
internal fun processMetrics(): PrometheusMeterRegistry {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val binders =
        listOf(
            JvmMemoryMetrics(),
            JvmThreadMetrics(),
            ProcessorMetrics(),
            FileDescriptorMetrics(),
            UptimeMetrics(),
        )
    binders.forEach { it.bindTo(registry) }
    return registry
}
