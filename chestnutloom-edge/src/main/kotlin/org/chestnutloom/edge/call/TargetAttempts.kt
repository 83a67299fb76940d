package org.chestnutloom.edge.call

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.http.ConnectFailure
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.edge.target.RunWatch
import org.chestnutloom.edge.target.Target
import org.chestnutloom.id.CallId
import org.chestnutloom.time.Clock

private val logger = KotlinLogging.logger {}

/** Sends calls to individual targets and relays the responses. */
internal class TargetAttempts(
    private val codec: CallCodec,
    private val relay: ResponseRelay,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /**
     * Sends [call] to [target] and returns when the response was relayed or the attempt failed.
     *
     * [onResponse] is called when the head of the response has arrived.
     */
    suspend fun send(
        call: RoutedCall,
        target: Target,
        onResponse: () -> Unit,
    ): AttemptResult {
        val connection =
            target.pool.acquire().getOrElse { return connectFailed(it) }
        var isConnectionReusable = false
        val watch = RunWatch(target, call.service.healthPath, clock.elapsed(), clock, scope)
        call.runWatch = watch
        try {
            call.runs++
            val parts = connection.exchange(requestOf(call, target), call.body) { isResponseTo(call, connection, it) }
            val result = readResponse(call, target, connection, parts, onResponse)
            isConnectionReusable = result.isConnectionReusable
            if (result.outcome is AttemptResult.NotRun) call.runs--
            return result.outcome
        } finally {
            watch.close()
            releaseConnection(target, connection, isConnectionReusable)
        }
    }

    private fun connectFailed(failure: ConnectFailure) = AttemptResult.NotRun("connect: ${failure.detail}")

    /**
     * Returns whether [response] may belong to [call] rather than to an earlier request on the connection.
     *
     * A response without a call id is accepted only as the first one on its connection, which then serves no other
     * request, as a second response without an id could be a late one to the first.
     */
    private fun isResponseTo(
        call: RoutedCall,
        connection: HttpConnection,
        response: HttpResponse,
    ): Boolean {
        val callId = codec.responseCallId(response)
        val isMatch = if (callId == null) !connection.hasResponded else callId == call.id
        if (!isMatch) logUnexpectedResponse(call, callId)
        if (callId == null) connection.forbidReuse()
        return isMatch
    }

    private fun logUnexpectedResponse(
        call: RoutedCall,
        callId: CallId?,
    ) {
        logger.warnEvent("answer_skipped", "call" to call.id, "target" to call.lastTarget, "named" to callId)
    }

    private fun releaseConnection(
        target: Target,
        connection: HttpConnection,
        isConnectionReusable: Boolean,
    ) {
        if (!isConnectionReusable) return target.pool.discard(connection)
        connection.setReading(true)
        // The request body may not be fully written yet.
        scope.launch { target.pool.releaseWhenSent(connection) }
    }

    private fun requestOf(
        call: RoutedCall,
        target: Target,
    ): HttpRequest {
        val timeLeft = call.callerDeadline - clock.elapsed()
        val headers = codec.targetHeaders(call.request, target.entry, call.account?.id, timeLeft)
        if (!call.body.isEmpty || call.request.method in METHODS_WITH_BODY) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        val method = HttpMethod.valueOf(call.request.method)
        return DefaultHttpRequest(HttpVersion.HTTP_1_1, method, call.request.target, headers)
    }

    private suspend fun readResponse(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
        onResponse: () -> Unit,
    ): ReadResult {
        val first =
            withTimeoutOrNull(call.deadline - clock.elapsed()) { parts.receive() }
                ?: return timedOutResponse()
        return when (first) {
            is ResponsePart.Head -> {
                onResponse()
                call.runWatch?.headReceived(first.framing)
                val head = codec.responseHead(first.response)
                if (head.isTargetLeaving) markLeaving(target)
                relayResponse(call, target, connection, head, parts)
            }
            is ResponsePart.Aborted -> lostResponse(first.cause)
            else -> lostResponse("response part received before the response head")
        }
    }

    private fun markLeaving(target: Target) {
        if (target.isLeaving) return
        target.isLeaving = true
        logger.event("target_leaving", "target" to target.entry.id, "in_flight" to target.inFlight)
    }

    private suspend fun relayResponse(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val hasBody = call.request.method != HttpMethod.HEAD.name()
        val isStream = call.route.kind == RouteKind.STREAMING && head.isSuccess && hasBody
        return when {
            head.isNotRun ->
                ReadResult(
                    AttemptResult.NotRun("target status ${head.status}", head.status),
                    relay.drain(parts),
                )
            head.isSuccess && !head.isSigned -> lostResponse("response has no signature")
            head.impliesNotRun -> lostResponse("target status ${head.status} does not prove that the call was not run")
            isStream -> relay.relayStream(call, target, connection, head, parts)
            else -> relay.relayBuffered(call, target, connection, head, parts)
        }
    }

    private companion object {
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
