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
import org.chestnutloom.fakes.fault.FaultGate
import org.chestnutloom.fakes.fault.FaultMode
import org.chestnutloom.fakes.http.BadRequest
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.answer
import org.chestnutloom.fakes.http.cutConnection
import org.chestnutloom.fakes.http.decode
import org.chestnutloom.fakes.http.dropConnection
import org.chestnutloom.fakes.http.send
import org.chestnutloom.fakes.record.PROGRAM_ID_HEADER
import org.chestnutloom.fakes.record.REQUEST_ID_HEADER
import org.chestnutloom.fakes.record.RequestLog
import kotlin.time.Duration.Companion.milliseconds

/** The completions of an engine: run, resume and cancel. */
internal class CompletionRoutes(
    private val settings: EngineSettings,
    private val engine: Engine,
    private val log: RequestLog,
    private val completions: Completions,
    private val orders: OrderBook,
    private val gate: FaultGate,
) {
    fun install(route: Route) {
        route.post("/v1/chat/completions") { call.complete() }
        route.get("/v1/requests/{id...}") { call.resume() }
        route.post("/v1/requests/{id...}") { call.answer(gate) { call.cancel() } }
    }

    private suspend fun ApplicationCall.complete() {
        val body = receive<ByteArray>()
        val fault = gate.next(body)
        if (fault.delayMs > 0) delay(fault.delayMs.milliseconds)
        if (fault.mode == FaultMode.DOWN) return send(HttpResponse.empty(HttpStatusCode.ServiceUnavailable))
        val number = log.received(this, body)
        val chat = read(body) ?: return refuse(number, HttpStatusCode.BadRequest, "the body is no chat request")
        if (!orders.serves(chat.model)) return refuse(number, HttpStatusCode.NotFound, "the model is not loaded")
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
            run.awaitEnd()
            dropConnection()
        }
        if (run.request.stream) stream(run, 0, fault) else respondWhole(run)
    }

    private suspend fun ApplicationCall.respondWhole(run: EngineRun) {
        val end = run.awaitEnd()
        if (end == RunEnd.CANCELLED) return refuse(run.logNumber, HttpStatusCode.Gone, "the request was cancelled")
        log.change(run.logNumber) { record, _ -> record.copy(status = HttpStatusCode.OK.value) }
        send(HttpResponse.text(HttpStatusCode.OK, completions.whole(run)))
    }

    private suspend fun ApplicationCall.resume() {
        val run = engine.runs.find(requestId("stream")) ?: return send(HttpResponse.empty(HttpStatusCode.NotFound))
        val from = request.queryParameters["from"]?.toIntOrNull() ?: 0
        val fault = gate.next(ByteArray(0))
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
        log.change(run.logNumber) { record, _ -> record.copy(status = HttpStatusCode.OK.value) }
        val chunkLimit = if (fault.mode == FaultMode.CUT_STREAM) fault.afterChunks else Int.MAX_VALUE
        respond(SSEServerContent(this, { sendChunks(run, from, chunkLimit) }))
    }

    private suspend fun ServerSSESession.sendChunks(
        run: EngineRun,
        from: Int,
        chunkLimit: Int,
    ) {
        for (index in from until run.chunkCount) {
            if (index - from >= chunkLimit) call.cutConnection()
            if (!run.awaitChunk(index)) call.cutConnection()
            send(data = completions.chunk(run, index))
        }
        send(data = STREAM_END)
    }

    private suspend fun ApplicationCall.refuse(
        number: Int,
        status: HttpStatusCode,
        problem: String,
    ) {
        log.change(number) { record, nowMs -> record.copy(endedAtMs = nowMs, status = status.value) }
        send(HttpResponse.json(BadRequest(problem), status))
    }

    /** Request ids may hold slashes, encoded or not, so the id is all of the path before [lastSegment]. */
    private fun ApplicationCall.requestId(lastSegment: String): String {
        val segments = parameters.getAll("id").orEmpty()
        return segments.joinToString("/").removeSuffix("/$lastSegment")
    }

    private companion object {
        const val STREAM_END = "[DONE]"
    }
}
