package org.chestnutloom.fakes.proxy

import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.respondAdmin
import org.chestnutloom.time.Clock
import org.chestnutloom.time.systemClock
import java.util.concurrent.ConcurrentHashMap

/** Returns a proxy with the administrative port [adminPort]; 0 selects a free port. */
public fun faultProxy(
    adminPort: Int = 0,
    clock: Clock = systemClock(),
): FaultProxy = FaultProxyStandIn(adminPort, clock)

private class FaultProxyStandIn(
    adminPort: Int,
    private val clock: Clock,
) : FaultProxy {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = ConcurrentHashMap<String, ProxyLink>()
    private val admin = HttpStandIn(adminPort, ::adminRoutes)

    override val port: Int
        get() = admin.port

    override suspend fun start() {
        admin.start()
    }

    override suspend fun stop() {
        scope.cancel()
        admin.stop()
        selector.close()
    }

    override suspend fun open(spec: LinkSpec): LinkPort {
        val link = ProxyLink(spec, selector, clock, scope)
        link.start()
        links[spec.name] = link
        return LinkPort(link.port)
    }

    override fun set(
        name: String,
        fault: LinkFault,
    ): Boolean {
        val link = links[name] ?: return false
        link.set(fault)
        return true
    }

    override fun stats(): LinkStatsList = LinkStatsList(links.values.map(ProxyLink::stats).sortedBy(LinkStats::name))

    private fun adminRoutes(route: Route) {
        route.get("/admin/links") { call.respondAdmin { HttpResponse.json(stats()) } }
        route.post("/admin/links") { call.respondAdmin { HttpResponse.json(open(it.decode())) } }
        route.post("/admin/links/{name}/fault") {
            val name = call.parameters["name"].orEmpty()
            call.respondAdmin { HttpResponse.empty(statusOf(set(name, it.decode()))) }
        }
    }

    private fun statusOf(found: Boolean): HttpStatusCode =
        if (found) HttpStatusCode.NoContent else HttpStatusCode.NotFound
}
