package org.chestnutloom.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.chestnutloom.common.log.event
import org.chestnutloom.daemon.trace.createTracerProvider
import org.chestnutloom.time.systemClock
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Runs one node with its health checks, metrics and traces. */
internal class Daemon(
    private val config: LaunchConfig,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = ProcessMetrics()
    private val tracerProvider = lazy { createTracerProvider(config.common, config.role, config.id) }
    private val tracer = lazy { tracerProvider.value.get(TRACER_NAME) }
    private val node = config.factory.create(systemClock(), metrics.registry, tracer, scope)
    private val admin = AdminServer(config.common.admin, metrics, node)

    /** Starts the node and the admin server, and logs their ports. */
    suspend fun start() {
        node.start()
        val adminPort = admin.start()
        logger.event(
            "listening",
            "role" to config.role,
            "id" to config.id,
            "http_port" to (node.endpoints.httpPort ?: "none"),
            "link_port" to node.endpoints.linkPort,
            "admin_port" to adminPort,
        )
    }

    /** Logs a reload request; settings come from flags and environment variables and cannot change at run time. */
    fun reload() {
        logger.event("reload", "role" to config.role, "id" to config.id, "outcome" to "settings_unchanged")
    }

    /** Stops the node gracefully, then the admin server and the trace export. */
    suspend fun stop() {
        logger.event("stopping", "role" to config.role, "id" to config.id)
        node.stopGracefully()
        admin.stop()
        scope.cancel()
        if (tracerProvider.isInitialized()) flushTraces()
        logger.event("stopped", "role" to config.role, "id" to config.id)
    }

    private fun flushTraces() {
        tracerProvider.value.shutdown().join(TRACE_FLUSH_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        private const val TRACER_NAME = "org.chestnutloom"
        private const val TRACE_FLUSH_TIMEOUT_SECONDS = 2L
    }
}
