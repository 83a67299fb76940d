package org.chestnutloom.gateway.http

import arrow.core.raise.Raise
import arrow.core.raise.either
import io.ktor.http.ContentType
import io.ktor.server.request.contentType
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.queryString
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.OpenRoute
import org.chestnutloom.gateway.body.Redactor
import org.chestnutloom.gateway.body.crashHash
import org.chestnutloom.gateway.call.CallPlan
import org.chestnutloom.gateway.call.CallResult
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.currentOrRefusal
import org.chestnutloom.gateway.ingress.StandaloneCallRunner
import org.chestnutloom.gateway.trace.traceParent
import org.chestnutloom.id.CallId
import java.util.UUID

/** Handles the open routes, which require no access key. */
internal class OpenRouteHandler(
    private val settings: SettingsSource,
    private val standaloneCalls: StandaloneCallRunner,
    private val redactor: Redactor,
    private val responder: Responder,
) {
    /** Sends the request to the service that the environment settings map to its path. */
    suspend fun serve(exchange: Exchange) {
        val result = either { run(exchange) }
        result.onLeft { responder.refuse(exchange, it) }
    }

    private suspend fun Raise<Refusal>.run(exchange: Exchange) {
        val environment = settings.currentOrRefusal().bind()
        val route = findRoute(exchange, environment) ?: raise(unknownRoute())
        val body = readText(exchange.call, environment.limits.maxBodyBytes).bind()
        val plan = plan(exchange, environment, route, redactor.redact(body, exchange.bearer))
        when (val result = standaloneCalls.run(plan)) {
            is CallResult.Refused -> raise(result.refusal)
            is CallResult.Answered -> respond(exchange, result)
        }
    }

    private suspend fun respond(
        exchange: Exchange,
        result: CallResult.Answered,
    ) {
        val answer = result.answer
        responder.respondText(exchange, answer.body, answer.status, parseContentType(answer.contentType))
    }

    private fun findRoute(
        exchange: Exchange,
        environment: EnvironmentSettings,
    ): OpenRoute? {
        val path =
            exchange.call.request
                .path()
                .removePrefix(PATH_PREFIX)
        val method = exchange.call.request.httpMethod.value
        return environment.openRoutes.firstOrNull { it.path == path && it.method.equals(method, ignoreCase = true) }
    }

    private fun plan(
        exchange: Exchange,
        environment: EnvironmentSettings,
        route: OpenRoute,
        body: String,
    ): CallPlan {
        val query = redactor.redact(exchange.call.request.queryString(), exchange.bearer)
        return CallPlan(
            id = CallId("open-${UUID.randomUUID()}"),
            kind = CallKind.TOOL,
            caller = null,
            accountWeight = 1,
            program = null,
            ownerEpoch = 0,
            idempotent = environment.services[route.service]?.idempotent ?: false,
            model = null,
            service = route.service,
            method = route.method,
            path = if (query.isEmpty()) route.path else "${route.path}?$query",
            body = body,
            bodyHash = crashHash(null, "${route.path}\n$query\n$body"),
            stream = false,
            promptTokens = 0,
            maxCompletionTokens = 0,
            programServiceMs = 0,
            queueTimeout = environment.limits.queueTimeout,
            runTimeout = environment.limits.toolRunTimeout,
            lastTarget = null,
            lastPromptTokens = 0,
            traceParent = exchange.span.traceParent(),
            contentType = requestContentType(exchange),
        )
    }

    private fun requestContentType(exchange: Exchange): String {
        val type = exchange.call.request.contentType()
        if (type == ContentType.Any) return "application/octet-stream"
        return "${type.contentType}/${type.contentSubtype}"
    }

    private fun parseContentType(text: String): ContentType =
        runCatching { ContentType.parse(text) }.getOrDefault(ContentType.Application.OctetStream)

    private fun unknownRoute(): Refusal = Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "There is no such route.")

    private companion object {
        const val PATH_PREFIX = "/open"
    }
}
