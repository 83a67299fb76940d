package org.chestnutloom.fakes.fault

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin

/** Lets an administrator put a fault in force by `POST /admin/fault`. */
internal fun Route.faultRoutes(gate: FaultGate) {
    post("/admin/fault") {
        call.respondAdmin { body ->
            gate.set(body.decode())
            HttpResponse.empty(HttpStatusCode.NoContent)
        }
    }
}
