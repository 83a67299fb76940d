package org.chestnutloom.gateway.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.io.IOException
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.InFlightCounter
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.message.ProgramOperation
import java.util.UUID
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** The HTTP server of the caller-facing API. */
internal class GatewayHttpServer(
    private val bind: PeerAddress,
    private val authenticatedRoutes: AuthenticatedRouteHandler,
    private val openRoutes: OpenRouteHandler,
    private val responder: Responder,
    private val inFlight: InFlightCounter,
    private val tracing: Tracing,
    private val metrics: MeterRegistry,
    private val clock: Clock,
) {
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = bind.port, host = bind.host) { routes() }

    /** Whether new requests are refused because the gateway is shutting down. */
    @Volatile
    var isStopping: Boolean = false

    /** Starts listening and returns the bound port. */
    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    /** Stops the server and closes all connections. */
    suspend fun stop() {
        server.stopSuspend(STOP_GRACE_MS, STOP_TIMEOUT_MS)
    }

    private fun Application.routes() {
        routing {
            programRoutes()
            post("/v1/chat/completions") { exchange(call, "completions") { authenticatedRoutes.complete(it) } }
            get("/v1/models") { exchange(call, "models") { authenticatedRoutes.models(it) } }
            route("/open/{...}") { handle { exchange(call, "open") { openRoutes.serve(it) } } }
            route("{...}") { handle { exchange(call, "unknown") { responder.refuse(it, unknownRoute()) } } }
        }
    }

    private fun Route.programRoutes() =
        route("/v1/programs") {
            post { exchange(call, "open_program") { authenticatedRoutes.open(it) } }
            operationRoute("/{id}", "read_program", ProgramOperation.READ)
            operationRoute("/{id}/turns/{turn}", "read_turn", ProgramOperation.READ_TURN)
            operationRoute("/{id}/close", "close_program", ProgramOperation.CLOSE)
            operationRoute("/{id}/cancel", "cancel_program", ProgramOperation.CANCEL)
            post("/{id}/turns/{turn}") {
                val id = call.parameters["id"]
                exchange(call, "run_turn") { authenticatedRoutes.runTurn(it, id, call.parameters["turn"]) }
            }
        }

    private fun Route.operationRoute(
        path: String,
        name: String,
        operation: ProgramOperation,
    ) {
        val isRead = operation == ProgramOperation.READ || operation == ProgramOperation.READ_TURN
        val method = if (isRead) HttpMethod.Get else HttpMethod.Post
        route(path, method) {
            handle {
                val parameters = call.parameters
                exchange(call, name) {
                    authenticatedRoutes.runOperation(it, operation, parameters["id"], parameters["turn"])
                }
            }
        }
    }

    private suspend fun exchange(
        call: ApplicationCall,
        route: String,
        block: suspend (Exchange) -> Unit,
    ) {
        val exchange = exchangeOf(call, route)
        val startedAt = clock.elapsed()
        call.response.header(REQUEST_ID_HEADER, exchange.requestId)
        if (isStopping) call.response.header(HttpHeaders.Connection, "close")
        inFlight.increment()
        try {
            if (isStopping) responder.refuse(exchange, stoppingRefusal()) else block(exchange)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: IOException) {
            logger.warnEvent("caller_gone", "request" to exchange.requestId, "cause" to exception::class.simpleName)
        } catch (exception: Exception) {
            handleUnexpectedError(exchange, exception)
        } finally {
            inFlight.decrement()
            exchange.span.end()
            val status = call.response.status()?.value ?: 0
            val timer = metrics.timer("chestnutloom.http.requests", "route", route, "status", status.toString())
            timer.record((clock.elapsed() - startedAt).inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private suspend fun handleUnexpectedError(
        exchange: Exchange,
        exception: Exception,
    ) {
        val frame = exception.stackTrace.firstOrNull()
        val fields = arrayOf("request" to exchange.requestId, "route" to exchange.route)
        logger.warnEvent("request_failed", *fields, "cause" to exception::class.simpleName, "at" to frame)
        val refusal = Refusal(RefusalCode.INTERNAL, Execution.UNKNOWN, "An internal error occurred.")
        if (!exchange.call.response.isCommitted) responder.refuse(exchange, refusal)
    }

    private fun exchangeOf(
        call: ApplicationCall,
        route: String,
    ): Exchange {
        val requestId = UUID.randomUUID().toString()
        val traceParent = call.request.headers[TRACE_PARENT_HEADER]
        val span = tracing.start("ingress", traceParent, "route" to route, "request" to requestId)
        return Exchange(call, requestId, bearerOf(call), route, span)
    }

    private fun bearerOf(call: ApplicationCall): String? {
        val header = call.request.headers[HttpHeaders.Authorization] ?: return null
        if (!header.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
        return header.substring(BEARER_PREFIX.length).trim()
    }

    private fun stoppingRefusal(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "The gateway is shutting down.", RETRY_AFTER_MS)

    private fun unknownRoute(): Refusal = Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "There is no such route.")

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val TRACE_PARENT_HEADER = "traceparent"
        const val BEARER_PREFIX = "Bearer "
        const val RETRY_AFTER_MS = 100L
        const val STOP_GRACE_MS = 0L
        const val STOP_TIMEOUT_MS = 500L
    }
}
