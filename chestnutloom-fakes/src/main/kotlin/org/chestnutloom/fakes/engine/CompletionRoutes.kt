package org.chestnutloom.fakes.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.sse.SSEServerContent
import io.ktor.server.sse.ServerSSESession
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.chestnutloom.fakes.fault.Fault
import org.chestnutloom.fakes.fault.FaultInjector
import org.chestnutloom.fakes.fault.FaultMode
import org.chestnutloom.fakes.http.ErrorBody
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.abortConnection
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.flushAndAbortConnection
import org.chestnutloom.fakes.http.respondWithFaults
import org.chestnutloom.fakes.http.send
import org.chestnutloom.fakes.record.PROGRAM_ID_HEADER
import org.chestnutloom.fakes.record.REQUEST_ID_HEADER
import org.chestnutloom.fakes.record.RequestLog
import kotlin.time.Duration.Companion.milliseconds

/** The HTTP routes that run, resume and cancel completions. */
internal class CompletionRoutes(
    private val settings: EngineSettings,
    private val engine: Engine,
    private val log: RequestLog,
    private val completions: CompletionEncoder,
    private val orders: OrderExecutor,
    private val faults: FaultInjector,
) {
    fun install(route: Route) {
        route.post("/v1/chat/completions") { call.complete() }
        route.get("/v1/requests/{id...}") { call.resume() }
        route.post("/v1/requests/{id...}") { call.respondWithFaults(faults) { call.cancel() } }
    }

    private suspend fun ApplicationCall.complete() {
        val body = receive<ByteArray>()
        val fault = faults.next(body)
        if (fault.delayMs > 0) delay(fault.delayMs.milliseconds)
        if (fault.mode == FaultMode.DOWN) return send(HttpResponse.empty(HttpStatusCode.ServiceUnavailable))
        val number = log.add(this, body)
        val chat =
            read(body)
                ?: return reject(number, HttpStatusCode.BadRequest, "the body is not a chat request with messages")
        if (!orders.serves(chat.model)) {
            return reject(number, HttpStatusCode.NotFound, "the model ${chat.model} is not loaded")
        }
        val run = run(chat, number)
        engine.submit(run)
        respondRun(run, fault)
    }

    private fun read(body: ByteArray): ChatRequest? =
        try {
            body.decode<ChatRequest>().takeIf { it.messages.isNotEmpty() }
        } catch (_: SerializationException) {
            null
        }

    private fun ApplicationCall.run(
        chat: ChatRequest,
        number: Int,
    ): EngineRun {
        val requestId = request.headers[REQUEST_ID_HEADER] ?: "request-$number"
        response.header(REQUEST_ID_HEADER, requestId)
        return EngineRun(requestId, request.headers[PROGRAM_ID_HEADER], chat, number, settings.tokensPerChunk)
    }

    private suspend fun ApplicationCall.respondRun(
        run: EngineRun,
        fault: Fault,
    ) {
        if (fault.mode == FaultMode.LOSE_REPLIES) {
            run.awaitOutcome()
            abortConnection()
        }
        if (run.request.stream) stream(run, 0, fault) else respondComplete(run)
    }

    private suspend fun ApplicationCall.respondComplete(run: EngineRun) {
        val outcome = run.awaitOutcome()
        if (outcome == RunOutcome.CANCELLED) {
            return reject(run.logNumber, HttpStatusCode.Gone, "the request was cancelled")
        }
        log.update(run.logNumber) { record, _ -> record.copy(status = HttpStatusCode.OK.value) }
        send(HttpResponse.jsonText(HttpStatusCode.OK, completions.complete(run)))
    }

    private suspend fun ApplicationCall.resume() {
        val run = engine.runs.find(requestId("stream")) ?: return send(HttpResponse.empty(HttpStatusCode.NotFound))
        val from = request.queryParameters["from"]?.toIntOrNull() ?: 0
        val fault = faults.next(ByteArray(0))
        if (fault.mode == FaultMode.DOWN) return send(HttpResponse.empty(HttpStatusCode.ServiceUnavailable))
        response.header(REQUEST_ID_HEADER, run.requestId)
        stream(run, from, fault)
    }

    private fun ApplicationCall.cancel(): HttpResponse {
        engine.runs.find(requestId("cancel"))?.let(engine::cancel)
        return HttpResponse.empty(HttpStatusCode.NoContent)
    }

    private suspend fun ApplicationCall.stream(
        run: EngineRun,
        from: Int,
        fault: Fault,
    ) {
        log.update(run.logNumber) { record, _ -> record.copy(status = HttpStatusCode.OK.value) }
        val chunkLimit = if (fault.mode == FaultMode.CUT_STREAM) fault.afterChunks else Int.MAX_VALUE
        respond(SSEServerContent(this, { sendChunks(run, from, chunkLimit) }))
    }

    private suspend fun ServerSSESession.sendChunks(
        run: EngineRun,
        from: Int,
        chunkLimit: Int,
    ) {
        for (index in from until run.chunkCount) {
            if (index - from >= chunkLimit) call.flushAndAbortConnection()
            if (!run.awaitChunk(index)) call.flushAndAbortConnection()
            send(data = completions.chunk(run, index))
        }
        send(data = STREAM_END)
    }

    private suspend fun ApplicationCall.reject(
        number: Int,
        status: HttpStatusCode,
        problem: String,
    ) {
        log.update(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = status.value) }
        send(HttpResponse.json(ErrorBody(problem), status))
    }

    /** Returns the request id: the path up to [lastSegment], since ids may contain slashes, encoded or not. */
    private fun ApplicationCall.requestId(lastSegment: String): String {
        val segments = parameters.getAll("id").orEmpty()
        return segments.joinToString("/").removeSuffix("/$lastSegment")
    }

    private companion object {
        const val STREAM_END = "[DONE]"
    }
}
