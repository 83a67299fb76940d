package org.chestnutloom.fakes.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.fakes.http.respondWithFaults
import org.chestnutloom.store.Transaction

/** Creates a stand-in for the platform's table service; [port] 0 selects a free port. */
public fun tableStandIn(port: Int = 0): StandIn = HttpStandIn(port, TableService()::install)

private class TableService {
    private val rows = TableRows()
    private val counters = TableCounters()
    private val faults = FaultInjector()

    fun install(route: Route) {
        route.post("/v1/read") { call.respondCounted { read(it) } }
        route.post("/v1/scan") { call.respondCounted { scan(it) } }
        route.post("/v1/transact") { call.respondCounted { transact(it) } }
        route.get("/admin/stats") { call.respondAdmin { HttpResponse.json(counters.toStats()) } }
        route.get("/admin/rows") {
            val prefix = call.request.queryParameters["prefix"].orEmpty()
            call.respondAdmin { HttpResponse.json(RowList(rows.scan(prefix, null, Int.MAX_VALUE - 1).rows)) }
        }
        route.faultRoutes(faults)
    }

    private suspend fun ApplicationCall.respondCounted(handle: (ByteArray) -> HttpResponse) =
        respondWithFaults(faults) { body ->
            counters.receivedBytes.add(body.size.toLong())
            handle(body).also { counters.sentBytes.add(it.body.size.toLong()) }
        }

    private fun read(body: ByteArray): HttpResponse {
        counters.reads.increment()
        return HttpResponse.json(RowList(rows.read(body.decode<ReadRequest>().keys)))
    }

    private fun scan(body: ByteArray): HttpResponse {
        counters.reads.increment()
        val request = body.decode<ScanRequest>()
        return HttpResponse.json(rows.scan(request.prefix, request.afterKey, request.limit))
    }

    private fun transact(body: ByteArray): HttpResponse {
        val transaction = body.decode<Transaction>()
        return rows.transact(transaction).fold(
            { conflict ->
                counters.conflicts.increment()
                HttpResponse.json(conflict, HttpStatusCode.Conflict)
            },
            { written ->
                counters.transactions.increment()
                counters.rowsWritten.add(transaction.writes.size.toLong())
                HttpResponse.json(RowList(written))
            },
        )
    }
}
