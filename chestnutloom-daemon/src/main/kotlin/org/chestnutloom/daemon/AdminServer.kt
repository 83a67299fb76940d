package org.chestnutloom.daemon

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.chestnutloom.common.node.Node
import org.chestnutloom.wire.link.PeerAddress
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/**
 * Serves health checks and metrics over HTTP.
 *
 * It uses the server of the JDK: a process that serves no other HTTP with Ktor would load all of Ktor's server for it.
 */
internal class AdminServer(
    private val bind: PeerAddress,
    private val metrics: ProcessMetrics,
    private val node: Node,
) {
    private val server = HttpServer.create()
    private val threads = Executors.newFixedThreadPool(THREADS) { Thread(it, "admin").apply { isDaemon = true } }

    /** Starts listening and returns the port. */
    fun start(): Int {
        server.bind(InetSocketAddress(bind.host, bind.port), DEFAULT_BACKLOG)
        server.executor = threads
        server.createContext("/") { exchange -> exchange.use(::respond) }
        server.start()
        return server.address.port
    }

    /** Stops without a grace period. */
    fun stop() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun respond(exchange: HttpExchange) {
        if (exchange.requestMethod != "GET") return respond(exchange, HttpURLConnection.HTTP_BAD_METHOD, "GET only\n")
        when (exchange.requestURI.path) {
            "/live" -> respond(exchange, HttpURLConnection.HTTP_OK, "live\n")
            "/ready" -> respondReadiness(exchange)
            "/metrics" -> respond(exchange, HttpURLConnection.HTTP_OK, metrics.scrape(), METRICS_CONTENT_TYPE)
            else -> respond(exchange, HttpURLConnection.HTTP_NOT_FOUND, "not found\n")
        }
    }

    private fun respondReadiness(exchange: HttpExchange) {
        if (node.isReady) return respond(exchange, HttpURLConnection.HTTP_OK, "ready\n")
        respond(exchange, HttpURLConnection.HTTP_UNAVAILABLE, "not ready\n")
    }

    private fun respond(
        exchange: HttpExchange,
        status: Int,
        body: String,
        contentType: String = TEXT_CONTENT_TYPE,
    ) {
        val bytes = body.encodeToByteArray()
        exchange.responseHeaders["Content-Type"] = contentType
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.write(bytes)
    }

    private companion object {
        private const val THREADS = 2
        private const val DEFAULT_BACKLOG = 0
        private const val TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
        private const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
