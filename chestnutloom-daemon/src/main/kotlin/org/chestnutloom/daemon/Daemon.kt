package org.chestnutloom.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.chestnutloom.common.log.event
import org.chestnutloom.daemon.trace.tracerProvider
import org.chestnutloom.time.systemClock
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Runs one node with its health checks, metrics and traces. */
internal class Daemon(
    private val launch: Launch,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = processMetrics()
    private val tracers = tracerProvider(launch.common, launch.role, launch.id)
    private val node = launch.factory.create(systemClock(), metrics, tracers.get(TRACER_NAME), scope)
    private val admin = AdminServer(launch.common.admin, metrics, node)

    /** Starts everything and says where it listens. */
    suspend fun start() {
        node.start()
        val adminPort = admin.start()
        logger.event(
            "listening",
            "role" to launch.role,
            "id" to launch.id,
            "http_port" to (node.endpoints.httpPort ?: "none"),
            "link_port" to node.endpoints.linkPort,
            "admin_port" to adminPort,
        )
    }

    /** Takes note of a request to read the settings again; they are flags and variables, which stay as they are. */
    fun reload() {
        logger.event("reload", "role" to launch.role, "id" to launch.id, "outcome" to "settings_unchanged")
    }

    /** Lets the node finish its work, and stops everything. */
    suspend fun stop() {
        logger.event("stopping", "role" to launch.role, "id" to launch.id)
        node.stopGracefully()
        admin.stop()
        scope.cancel()
        tracers.shutdown().join(TRACE_FLUSH_SECONDS, TimeUnit.SECONDS)
        logger.event("stopped", "role" to launch.role, "id" to launch.id)
    }

    private companion object {
        private const val TRACER_NAME = "org.chestnutloom"
        private const val TRACE_FLUSH_SECONDS = 2L
    }
}
