package org.chestnutloom.sidecar.target

import io.ktor.client.HttpClient
import io.ktor.client.plugins.sse.SSEClientException
import io.ktor.client.plugins.sse.sse
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.Url
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLPathPart
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.SidecarSettings
import org.chestnutloom.wire.message.CallRequest
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Sends HTTP requests to the target, each on a new connection. */
internal class HttpTarget(
    private val settings: SidecarSettings,
    private val client: HttpClient = targetHttpClient(),
) : Target {
    private val responseReader = ResponseReader(settings.mechanisms.has(Mechanism.STREAM_COMPLETENESS))

    override fun run(
        call: CallRequest,
        traceParent: String?,
    ): Flow<TargetEvent> =
        catchingFailures {
            val builder = requestFor(call, traceParent)
            if (call.stream) stream(call.id, builder) else plain(call.id, builder)
        }

    override fun resume(
        id: CallId,
        fromChunk: Int,
    ): Flow<TargetEvent> =
        catchingFailures {
            val builder = HttpRequestBuilder()
            builder.url("${requestUrl(id)}/stream?from=$fromChunk")
            addCredential(builder)
            stream(id, builder)
        }

    override suspend fun cancel(id: CallId) {
        if (settings.kind != CallKind.MODEL) return
        ignoringIoErrors {
            client.post("${requestUrl(id)}/cancel") { addCredential(this) }
        }
    }

    override suspend fun probe(): TargetHealth =
        withTimeoutOrNull(PROBE_TIMEOUT) {
            try {
                if (settings.kind == CallKind.MODEL) requestHealth() else connect()
                TargetHealth.UP
            } catch (e: IOException) {
                if (isConnectFailure(e)) TargetHealth.REFUSED else TargetHealth.SILENT
            }
        } ?: TargetHealth.SILENT

    override fun close() = client.close()

    private suspend fun requestHealth() {
        client.get("${settings.targetUrl}$HEALTH_PATH") { addCredential(this) }
    }

    /** Plain services have no health endpoint, so a successful connection counts as healthy. */
    private suspend fun connect() {
        val url = Url(settings.targetUrl)
        val address = InetSocketAddress(url.host, url.port)
        withContext(Dispatchers.IO) { Socket().use { it.connect(address, CONNECT_TIMEOUT_MS.toInt()) } }
    }

    private suspend fun FlowCollector<TargetEvent>.plain(
        id: CallId,
        builder: HttpRequestBuilder,
    ) {
        client.prepareRequest(builder).execute { response ->
            emit(responseReader.read(id, response))
        }
    }

    private suspend fun FlowCollector<TargetEvent>.stream(
        id: CallId,
        builder: HttpRequestBuilder,
    ) {
        var isComplete = false
        try {
            client.sse({ takeFrom(builder) }) {
                if (!belongsTo(id, call.response)) return@sse
                incoming
                    .takeWhile { event ->
                        isComplete = event.data == DONE_DATA
                        !isComplete
                    }.collect { event -> event.data?.let { emit(TargetEvent.Chunk(it)) } }
            }
        } catch (e: SSEClientException) {
            emit(eventOf(id, e))
            return
        }
        val countsAsComplete = isComplete || !settings.mechanisms.has(Mechanism.STREAM_COMPLETENESS)
        emit(if (countsAsComplete) TargetEvent.StreamEnd else lost("the stream ended before its final event"))
    }

    /** Reads the plain response that the target returned in place of a stream. */
    private suspend fun eventOf(
        id: CallId,
        exception: SSEClientException,
    ): TargetEvent {
        val response = exception.response
        val wasStream = response?.status == HttpStatusCode.OK && isEventStream(response)
        if (response == null || wasStream) return failureOf(exception)
        if (response.status == HttpStatusCode.NotFound && response.call.request.method == HttpMethod.Get) {
            return TargetEvent.Failed(TargetFailure.UnknownRequest)
        }
        return responseReader.read(id, response)
    }

    private fun requestFor(
        call: CallRequest,
        traceParent: String?,
    ): HttpRequestBuilder {
        if (!call.path.startsWith('/')) throw InvalidRequestException("The path does not start with a slash.")
        val builder = HttpRequestBuilder()
        builder.url(settings.targetUrl + call.path)
        builder.method = HttpMethod(call.method)
        builder.header(REQUEST_ID, call.id.value)
        call.program?.let { builder.header(PROGRAM_ID, it.value) }
        traceParent?.let { builder.header(TRACE_PARENT, it) }
        addCredential(builder)
        if (call.body.isNotEmpty()) builder.setBody(TextContent(call.body, ContentType.parse(call.contentType)))
        return builder
    }

    private fun addCredential(builder: HttpRequestBuilder) {
        settings.targetCredential?.let { builder.header(HttpHeaders.Authorization, "Bearer $it") }
    }

    private fun requestUrl(id: CallId): String = "${settings.targetUrl}/v1/requests/${id.value.encodeURLPathPart()}"

    private fun catchingFailures(block: suspend FlowCollector<TargetEvent>.() -> Unit): Flow<TargetEvent> =
        flow(block).catch { emit(failureOf(it)) }

    private suspend fun ignoringIoErrors(block: suspend () -> Unit) {
        withTimeoutOrNull(PROBE_TIMEOUT) {
            try {
                block()
            } catch (e: CancellationException) {
                throw e
            } catch (_: IOException) {
                // Cancellation is best effort; otherwise the request ends by its own timeout.
            }
        }
    }

    private companion object {
        const val DONE_DATA = "[DONE]"
        const val PROGRAM_ID = "X-Program-Id"
        const val TRACE_PARENT = "traceparent"
        const val HEALTH_PATH = "/v1/health"
        val PROBE_TIMEOUT = 2.seconds

        fun isEventStream(response: HttpResponse): Boolean =
            response.headers[HttpHeaders.ContentType]?.startsWith("text/event-stream") == true
    }
}
