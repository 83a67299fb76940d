package org.chestnutloom.fakes.record

import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.respondAdmin

/** Shows the log by `GET /admin/log?after={number}`. */
internal fun Route.logRoutes(log: RequestLog) {
    get("/admin/log") {
        val after = call.request.queryParameters["after"]?.toIntOrNull() ?: 0
        call.respondAdmin { HttpResponse.json(RequestRecords(log.after(after))) }
    }
}
