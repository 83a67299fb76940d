package org.chestnutloom.gateway.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.sse.ServerSentEvent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Writes responses to callers: complete bodies, streams of server-sent events, and errors. */
internal class Responder(
    private val metrics: MeterRegistry,
) {
    /** Responds with the error response for [refusal]. */
    suspend fun refuse(
        exchange: Exchange,
        refusal: Refusal,
    ) {
        recordRefusal(exchange, refusal)
        refusal.retryAfterMs?.let { exchange.call.response.header(HttpHeaders.RetryAfter, toSecondsRoundedUp(it)) }
        respondJson(exchange, errorBody(refusal, exchange.requestId), refusal.code.httpStatus)
    }

    /** Responds with [body] as JSON. */
    suspend fun respondJson(
        exchange: Exchange,
        body: JsonElement,
        status: Int,
    ) = respondText(exchange, body.toString(), status, ContentType.Application.Json)

    /** Responds with [body]. */
    suspend fun respondText(
        exchange: Exchange,
        body: String,
        status: Int,
        contentType: ContentType,
    ) = exchange.call.respondText(body, contentType, HttpStatusCode.fromValue(status))

    /** Waits for the answer in [replies] and responds with the result of [transform]. */
    suspend fun respondComplete(
        exchange: Exchange,
        replies: Flow<LinkReply>,
        transform: (ForwardedAnswer) -> ForwardedAnswer,
    ) {
        var answer: ForwardedAnswer? = null
        replies.collect { if (it is ForwardedAnswer) answer = it }
        answer?.let { respondAnswer(exchange, transform(it)) }
    }

    /**
     * Responds with [replies] as a stream of server-sent events.
     *
     * The response headers are held back until the first reply, for at most [FIRST_REPLY_TIMEOUT], so that an early
     * refusal becomes an ordinary error response. A later refusal is sent as an event named `error`, after which the
     * stream ends without `[DONE_DATA]`.
     */
    suspend fun respondStream(
        exchange: Exchange,
        replies: Flow<LinkReply>,
    ) = coroutineScope {
        val source = replies.buffer(STREAM_BUFFER).produceIn(this)
        val first = withTimeoutOrNull(FIRST_REPLY_TIMEOUT) { source.receiveCatching().getOrNull() }
        val refusal = (first as? ForwardedAnswer)?.refusal
        if (refusal != null) refuse(exchange, refusal) else writeStream(exchange, first, source)
    }

    private suspend fun respondAnswer(
        exchange: Exchange,
        answer: ForwardedAnswer,
    ) {
        val refusal = answer.refusal
        if (refusal != null) return refuse(exchange, refusal)
        respondText(exchange, answer.body, answer.status, ContentType.Application.Json)
    }

    private suspend fun writeStream(
        exchange: Exchange,
        first: LinkReply?,
        source: ReceiveChannel<LinkReply>,
    ) {
        exchange.call.response.header(HttpHeaders.CacheControl, "no-store")
        exchange.call.respondBytesWriter(ContentType.Text.EventStream) {
            var reply = first
            while (reply == null || !writeReply(exchange, reply)) {
                val next = withTimeoutOrNull(KEEP_ALIVE_INTERVAL) { source.receiveCatching() }
                reply = next?.getOrNull()
                if (next != null && reply == null) break
                if (next == null) write(ServerSentEvent(comments = "waiting"))
            }
        }
    }

    private suspend fun ByteWriteChannel.writeReply(
        exchange: Exchange,
        reply: LinkReply,
    ): Boolean {
        if (reply is ForwardedEvent) write(ServerSentEvent(data = reply.data))
        if (reply is ForwardedAnswer) writeEnd(exchange, reply.refusal)
        return reply is ForwardedAnswer
    }

    private suspend fun ByteWriteChannel.writeEnd(
        exchange: Exchange,
        refusal: Refusal?,
    ) {
        if (refusal == null) return write(ServerSentEvent(data = DONE_DATA))
        recordRefusal(exchange, refusal)
        write(ServerSentEvent(data = errorBody(refusal, exchange.requestId).toString(), event = "error"))
    }

    private suspend fun ByteWriteChannel.write(event: ServerSentEvent) {
        writeStringUtf8(event.toString() + "\r\n")
        flush()
    }

    private fun recordRefusal(
        exchange: Exchange,
        refusal: Refusal,
    ) {
        metrics.counter("chestnutloom.refusals", "code", refusal.code.wireName).increment()
        val fields =
            arrayOf("request" to exchange.requestId, "route" to exchange.route, "code" to refusal.code.wireName)
        logger.warnEvent("request_refused", *fields, "execution" to refusal.execution, "detail" to refusal.detail)
        exchange.span.setAttribute("code", refusal.code.wireName)
    }

    private fun toSecondsRoundedUp(ms: Long): String = ((ms + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()

    private companion object {
        const val DONE_DATA = "[DONE]"
        const val MS_PER_SECOND = 1_000L
        const val STREAM_BUFFER = 64
        val FIRST_REPLY_TIMEOUT = 3.seconds
        val KEEP_ALIVE_INTERVAL = 5.seconds
    }
}
