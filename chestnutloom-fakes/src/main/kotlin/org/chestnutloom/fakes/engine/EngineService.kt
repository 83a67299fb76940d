package org.chestnutloom.fakes.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.chestnutloom.fakes.fault.FaultGate
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.answer
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.fakes.record.RequestLog
import org.chestnutloom.fakes.record.logRoutes

/** The HTTP interface of an engine, besides completions. */
internal class EngineService(
    settings: EngineSettings,
    private val engine: Engine,
    private val log: RequestLog,
    completions: Completions,
    private val objects: ObjectClient,
) {
    private val gate = FaultGate()
    private val orders = OrderBook(settings.verifiesOrders, settings.models)
    private val completionRoutes = CompletionRoutes(settings, engine, log, completions, orders, gate)

    fun install(route: Route) {
        completionRoutes.install(route)
        cacheRoutes(route)
        route.get("/v1/load") { call.answer(gate) { HttpResponse.json(engine.load()) } }
        route.get("/v1/health") { call.answer(gate) { HttpResponse.empty(HttpStatusCode.OK) } }
        route.post("/v1/orders") { call.logged { obey(it.decode()) } }
        adminRoutes(route)
    }

    private fun cacheRoutes(route: Route) {
        route.get("/v1/cache") { call.answer(gate) { HttpResponse.json(HeldCache(engine.cache.held())) } }
        route.get("/v1/cache/events") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.answer(gate) { HttpResponse.json(CacheEventList(engine.events.published(after))) }
        }
        route.post("/v1/cache/release") { call.logged { release(it.decode()) } }
        route.post("/v1/cache/export") { call.logged { export(it.decode()) } }
        route.post("/v1/cache/import") { call.logged { import(it.decode()) } }
    }

    private fun adminRoutes(route: Route) {
        route.get("/admin/stats") { call.respondAdmin { HttpResponse.json(engine.stats()) } }
        route.get("/admin/cache-events") {
            call.respondAdmin { HttpResponse.json(CacheEventList(engine.events.all())) }
        }
        route.get("/admin/orders") { call.respondAdmin { HttpResponse.json(orders.view()) } }
        route.logRoutes(log)
        route.faultRoutes(gate)
    }

    private suspend fun ApplicationCall.logged(handle: suspend (ByteArray) -> HttpResponse) =
        answer(gate) { body ->
            val number = log.received(this, body)
            val answer = handle(body)
            log.change(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = answer.status.value) }
            answer
        }

    private fun obey(order: Order): HttpResponse =
        orders.obey(order).fold(
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
