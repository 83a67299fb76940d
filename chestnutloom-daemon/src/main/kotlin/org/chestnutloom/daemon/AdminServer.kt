package org.chestnutloom.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.chestnutloom.common.node.Node
import org.chestnutloom.wire.link.PeerAddress

/** Serves health checks and metrics over HTTP. */
internal class AdminServer(
    private val bind: PeerAddress,
    private val metrics: PrometheusMeterRegistry,
    private val node: Node,
) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = bind.port, host = bind.host) {
            routing {
                get("/live") { call.respondText("live\n") }
                get("/ready") { respondReadiness(call) }
                get("/metrics") { call.respondText(metrics.scrape(), METRICS_CONTENT_TYPE) }
            }
        }

    /** Starts listening and returns the port. */
    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    /** Stops without a grace period. */
    suspend fun stop() {
        server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)
    }

    private suspend fun respondReadiness(call: ApplicationCall) {
        val status = if (node.isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (node.isReady) "ready\n" else "not ready\n", status = status)
    }

    private companion object {
        private const val STOP_TIMEOUT_MS = 500L
        private val METRICS_CONTENT_TYPE = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
