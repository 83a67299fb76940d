package org.chestnutloom.fakes.fault

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import org.chestnutloom.fakes.http.HttpAnswer
import org.chestnutloom.fakes.http.answerAdmin
import org.chestnutloom.fakes.http.decode

/** Lets an administrator put a fault in force by `POST /admin/fault`. */
internal fun Route.faultRoutes(gate: FaultGate) {
    post("/admin/fault") {
        call.answerAdmin { body ->
            gate.set(body.decode())
            HttpAnswer.empty(HttpStatusCode.NoContent)
        }
    }
}
