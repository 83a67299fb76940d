package org.chestnutloom.fakes.record

import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.respondAdmin

/** Adds the route `GET /admin/log?after={number}`, which returns the records with a higher number. */
internal fun Route.logRoutes(log: RequestLog) {
    get("/admin/log") {
        val after = call.request.queryParameters["after"]?.toIntOrNull() ?: 0
        call.respondAdmin { HttpResponse.json(RequestRecords(log.after(after))) }
    }
}
