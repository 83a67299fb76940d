package org.chestnutloom.fakes.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.chestnutloom.fakes.fault.FaultGate
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpAnswer
import org.chestnutloom.fakes.http.answer
import org.chestnutloom.fakes.http.answerAdmin
import org.chestnutloom.fakes.http.decode
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
        route.get("/v1/load") { call.answer(gate) { HttpAnswer.json(engine.load()) } }
        route.get("/v1/health") { call.answer(gate) { HttpAnswer.empty(HttpStatusCode.OK) } }
        route.post("/v1/orders") { call.logged { obey(it.decode()) } }
        adminRoutes(route)
    }

    private fun cacheRoutes(route: Route) {
        route.get("/v1/cache") { call.answer(gate) { HttpAnswer.json(HeldCache(engine.cache.held())) } }
        route.get("/v1/cache/events") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.answer(gate) { HttpAnswer.json(CacheEventList(engine.events.published(after))) }
        }
        route.post("/v1/cache/release") { call.logged { release(it.decode()) } }
        route.post("/v1/cache/export") { call.logged { export(it.decode()) } }
        route.post("/v1/cache/import") { call.logged { import(it.decode()) } }
    }

    private fun adminRoutes(route: Route) {
        route.get("/admin/stats") { call.answerAdmin { HttpAnswer.json(engine.stats()) } }
        route.get("/admin/cache-events") { call.answerAdmin { HttpAnswer.json(CacheEventList(engine.events.all())) } }
        route.get("/admin/orders") { call.answerAdmin { HttpAnswer.json(orders.view()) } }
        route.logRoutes(log)
        route.faultRoutes(gate)
    }

    private suspend fun ApplicationCall.logged(handle: suspend (ByteArray) -> HttpAnswer) =
        answer(gate) { body ->
            val number = log.received(this, body)
            val answer = handle(body)
            log.change(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = answer.status.value) }
            answer
        }

    private fun obey(order: Order): HttpAnswer =
        orders.obey(order).fold(
            { HttpAnswer.json(it, HttpStatusCode.Conflict) },
            { HttpAnswer.empty(HttpStatusCode.OK) },
        )

    private fun release(reference: ProgramReference): HttpAnswer {
        engine.cache.release(reference.program)
        return HttpAnswer.empty(HttpStatusCode.NoContent)
    }

    private suspend fun export(reference: ProgramReference): HttpAnswer {
        val text = engine.cache.textOf(reference.program) ?: return HttpAnswer.empty(HttpStatusCode.NotFound)
        val stored = objects.put(reference.objectName, text)
        if (!stored) return HttpAnswer.empty(HttpStatusCode.BadGateway)
        return HttpAnswer.json(MovedTokens(tokenCount(text.length)))
    }

    private suspend fun import(reference: ProgramReference): HttpAnswer {
        val text = objects.get(reference.objectName) ?: return HttpAnswer.empty(HttpStatusCode.NotFound)
        val stored = engine.cache.store(reference.program, text)
        return HttpAnswer.json(MovedTokens(if (stored) tokenCount(text.length) else 0))
    }
}
