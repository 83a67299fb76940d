package org.chestnutloom.fakes.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.fakes.http.respondWithFaults
import org.chestnutloom.store.VmEntry
import org.chestnutloom.time.Clock
import org.chestnutloom.time.systemClock

/** Creates a stand-in for the platform's VM list; [port] 0 selects a free port. */
public fun vmListStandIn(
    port: Int = 0,
    clock: Clock = systemClock(),
): StandIn = HttpStandIn(port, VmListService(clock)::install)

private class VmListService(
    clock: Clock,
) {
    private val vms = LaggedVmList(clock)
    private val faults = FaultInjector()

    fun install(route: Route) {
        route.get("/v1/vms") { call.respondWithFaults(faults) { HttpResponse.json(VmEntryList(vms.visible())) } }
        route.put("/admin/vms/{id}") {
            call.respondAdmin { body -> noContentAfter { vms.put(body.decode<VmEntry>()) } }
        }
        route.delete("/admin/vms/{id}") {
            call.respondAdmin { noContentAfter { vms.remove(call.parameters["id"].orEmpty()) } }
        }
        route.post("/admin/lag") {
            call.respondAdmin { body -> noContentAfter { vms.setLag(body.decode<Lag>().lagMs) } }
        }
        route.faultRoutes(faults)
    }

    private fun noContentAfter(change: () -> Unit): HttpResponse {
        change()
        return HttpResponse.empty(HttpStatusCode.NoContent)
    }
}
