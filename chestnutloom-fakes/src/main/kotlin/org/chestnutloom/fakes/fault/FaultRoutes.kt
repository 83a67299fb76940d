package org.chestnutloom.fakes.fault

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin

/** Adds the route `POST /admin/fault`, which sets the active fault. */
internal fun Route.faultRoutes(faults: FaultInjector) {
    post("/admin/fault") {
        call.respondAdmin { body ->
            faults.set(body.decode())
            HttpResponse.empty(HttpStatusCode.NoContent)
        }
    }
}
