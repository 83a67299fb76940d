package org.chestnutloom.fakes.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.fakes.http.respondWithFaults
import org.chestnutloom.fakes.record.RequestLog
import org.chestnutloom.fakes.record.logRoutes

/** The HTTP API of an engine. */
internal class EngineService(
    settings: EngineSettings,
    private val engine: Engine,
    private val log: RequestLog,
    completions: CompletionEncoder,
    private val objects: ObjectClient,
) {
    private val faults = FaultInjector()
    private val orders = OrderExecutor(settings.verifiesOrders, settings.models)
    private val completionRoutes = CompletionRoutes(settings, engine, log, completions, orders, faults)

    fun install(route: Route) {
        completionRoutes.install(route)
        cacheRoutes(route)
        route.get("/v1/load") { call.respondWithFaults(faults) { HttpResponse.json(engine.load()) } }
        route.get("/v1/health") { call.respondWithFaults(faults) { HttpResponse.empty(HttpStatusCode.OK) } }
        route.post("/v1/orders") { call.respondLogged { execute(it.decode()) } }
        adminRoutes(route)
    }

    private fun cacheRoutes(route: Route) {
        route.get("/v1/cache") {
            call.respondWithFaults(faults) { HttpResponse.json(HeldCache(engine.cache.tokensByProgram())) }
        }
        route.get("/v1/cache/events") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.respondWithFaults(faults) { HttpResponse.json(CacheEventList(engine.events.published(after))) }
        }
        route.post("/v1/cache/release") { call.respondLogged { release(it.decode()) } }
        route.post("/v1/cache/export") { call.respondLogged { export(it.decode()) } }
        route.post("/v1/cache/import") { call.respondLogged { import(it.decode()) } }
    }

    private fun adminRoutes(route: Route) {
        route.get("/admin/stats") { call.respondAdmin { HttpResponse.json(engine.stats()) } }
        route.get("/admin/cache-events") {
            call.respondAdmin { HttpResponse.json(CacheEventList(engine.events.all())) }
        }
        route.get("/admin/orders") { call.respondAdmin { HttpResponse.json(orders.view()) } }
        route.logRoutes(log)
        route.faultRoutes(faults)
    }

    private suspend fun ApplicationCall.respondLogged(handle: suspend (ByteArray) -> HttpResponse) =
        respondWithFaults(faults) { body ->
            val number = log.add(this, body)
            val response = handle(body)
            log.update(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = response.status.value) }
            response
        }

    private fun execute(order: Order): HttpResponse =
        orders.execute(order).fold(
            { HttpResponse.json(it, HttpStatusCode.Conflict) },
            { HttpResponse.empty(HttpStatusCode.OK) },
        )

    private fun release(reference: ProgramReference): HttpResponse {
        engine.cache.release(reference.program)
        return HttpResponse.empty(HttpStatusCode.NoContent)
    }

    private suspend fun export(reference: ProgramReference): HttpResponse {
        val text = engine.cache.textOf(reference.program) ?: return HttpResponse.empty(HttpStatusCode.NotFound)
        val stored = objects.put(reference.objectName, text)
        if (!stored) return HttpResponse.empty(HttpStatusCode.BadGateway)
        return HttpResponse.json(MovedTokens(tokenCount(text.length)))
    }

    private suspend fun import(reference: ProgramReference): HttpResponse {
        val text = objects.get(reference.objectName) ?: return HttpResponse.empty(HttpStatusCode.NotFound)
        val stored = engine.cache.store(reference.program, text)
        return HttpResponse.json(MovedTokens(if (stored) tokenCount(text.length) else 0))
    }
}
