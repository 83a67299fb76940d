package org.chestnutloom.fakes.tool

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.faultRoutes
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.respondWithFaults
import org.chestnutloom.fakes.record.REQUEST_ID_HEADER
import org.chestnutloom.fakes.record.RequestLog
import org.chestnutloom.fakes.record.logRoutes
import org.chestnutloom.time.Clock
import org.chestnutloom.time.systemClock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Creates a stand-in for a tool service, which accepts any request and logs it. */
public fun toolStandIn(
    settings: ToolSettings = ToolSettings(),
    clock: Clock = systemClock(),
): StandIn = HttpStandIn(settings.port, ToolService(settings, clock)::install)

private class ToolService(
    private val settings: ToolSettings,
    clock: Clock,
) {
    private val log = RequestLog(clock, settings.logFile, settings.maxBodyCharacters)
    private val faults = FaultInjector()
    private val effects = AtomicInteger()

    fun install(route: Route) {
        route.logRoutes(log)
        route.faultRoutes(faults)
        route.route("{path...}") {
            handle { call.respondWithFaults(faults) { call.run(it) } }
        }
    }

    private suspend fun ApplicationCall.run(body: ByteArray): HttpResponse {
        val number = log.add(this, body)
        val behaviour = ToolBehaviour.parse(body)
        log.update(number) { record, nowMs -> record.copy(startedAtMs = nowMs) }
        if (behaviour.crash) settings.crash.crash()
        if (behaviour.hang) awaitCancellation()
        delay(behaviour.delayMs.milliseconds)
        val result = execute(body, behaviour)
        log.update(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = result.status.value) }
        request.headers[REQUEST_ID_HEADER]?.let { response.header(REQUEST_ID_HEADER, it) }
        return result
    }

    private fun ApplicationCall.execute(
        body: ByteArray,
        behaviour: ToolBehaviour,
    ): HttpResponse {
        val failStatus = behaviour.failStatus
        if (failStatus != null) return HttpResponse.jsonText(HttpStatusCode.fromValue(failStatus), FAILURE_BODY)
        val effect =
            ToolEffect(
                requestId = request.headers[REQUEST_ID_HEADER],
                effect = effects.incrementAndGet(),
                method = request.httpMethod.value,
                path = request.uri,
                bodyBytes = body.size,
            )
        return HttpResponse.json(effect)
    }

    private companion object {
        const val FAILURE_BODY = """{"problem":"the request asked for this failure"}"""
    }
}
