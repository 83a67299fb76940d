package org.chestnutloom.fakes.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.fakes.http.respondWithFaults
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Creates a stand-in for the platform's object store; [port] 0 selects a free port. */
public fun objectStandIn(port: Int = 0): StandIn = HttpStandIn(port, ObjectService()::install)

private class ObjectService {
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val puts = LongAdder()
    private val gets = LongAdder()
    private val putBytes = LongAdder()
    private val faults = FaultInjector()

    fun install(route: Route) {
        route.put("/v1/objects/{name...}") { call.respondWithFaults(faults) { put(call.objectName(), it) } }
        route.get("/v1/objects/{name...}") { call.respondWithFaults(faults) { get(call.objectName()) } }
        route.get("/admin/stats") { call.respondAdmin { HttpResponse.json(stats()) } }
        route.faultRoutes(faults)
    }

    private fun put(
        name: String,
        bytes: ByteArray,
    ): HttpResponse {
        puts.increment()
        putBytes.add(bytes.size.toLong())
        objects[name] = bytes
        return HttpResponse.empty(HttpStatusCode.NoContent)
    }

    private fun get(name: String): HttpResponse {
        gets.increment()
        val bytes = objects[name] ?: return HttpResponse.empty(HttpStatusCode.NotFound)
        return HttpResponse.bytes(bytes)
    }

    private fun stats() = ObjectStats(puts.sum(), gets.sum(), putBytes.sum(), objects.size)

    private fun ApplicationCall.objectName(): String = parameters.getAll("name").orEmpty().joinToString("/")
}
