package org.chestnutloom.fakes.http

import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import io.ktor.server.sse.SSE
import org.chestnutloom.fakes.StandIn

/** An HTTP server for [routes] that listens on all addresses of this VM. */
internal class HttpStandIn(
    private val requestedPort: Int,
    private val routes: Route.() -> Unit,
) : StandIn {
    private val server = embeddedServer(CIO, port = requestedPort, host = LISTEN_HOST) { module() }
    private var actualPort = requestedPort

    override val port: Int
        get() = actualPort

    override suspend fun start() {
        server.startSuspend(wait = false)
        actualPort =
            server.engine
                .resolvedConnectors()
                .first()
                .port
    }

    override suspend fun stop() {
        server.stopSuspend(STOP_GRACE_MS, STOP_TIMEOUT_MS)
    }

    private fun Application.module() {
        install(SSE)
        routing { routes() }
    }

    private companion object {
        const val LISTEN_HOST = "0.0.0.0"
        const val STOP_GRACE_MS = 0L
        const val STOP_TIMEOUT_MS = 200L
    }
}
