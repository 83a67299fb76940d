package org.chestnutloom.edge.call

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.edge.target.Target
import org.chestnutloom.id.CallId
import org.chestnutloom.time.Clock

private val logger = KotlinLogging.logger {}

/** Sends calls to single targets and passes their answers on. */
internal class TargetAttempts(
    private val codec: CallCodec,
    private val relay: ResponseRelay,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Sends [call] to [target], and returns once its answer was passed on or will not come. */
    suspend fun send(
        call: RoutedCall,
        target: Target,
    ): AttemptResult {
        val connection =
            target.pool.acquire().getOrElse { return AttemptResult.NotRun("connect: ${it.detail}") }
        var isClean = false
        try {
            call.runs++
            val parts = connection.exchange(requestOf(call, target)) { isAnswer(call, connection, it) }
            val result = read(call, target, connection, parts)
            isClean = result.isClean
            if (result.outcome is AttemptResult.NotRun) call.runs--
            return result.outcome
        } finally {
            giveBack(target, connection, isClean)
        }
    }

    /**
     * Whether [response] may be the answer to [call], rather than a late or extra one to a request before it.
     *
     * One that names no call can only be told apart on a connection that had no request before.
     */
    private fun isAnswer(
        call: RoutedCall,
        connection: HttpConnection,
        response: HttpResponse,
    ): Boolean {
        val answered = codec.responseCallId(response)
        val isOwn = if (answered == null) connection.exchangesEnded == 0 else answered == call.id
        if (!isOwn) logSkipped(call, answered)
        return isOwn
    }

    private fun logSkipped(
        call: RoutedCall,
        answered: CallId?,
    ) {
        logger.warnEvent("answer_skipped", "call" to call.id, "target" to call.lastTarget, "named" to answered)
    }

    private fun giveBack(
        target: Target,
        connection: HttpConnection,
        isClean: Boolean,
    ) {
        if (!isClean) return target.pool.discard(connection)
        connection.setReading(true)
        // The target may still be reading the request's body.
        scope.launch { target.pool.releaseWhenSent(connection) }
    }

    private fun requestOf(
        call: RoutedCall,
        target: Target,
    ): FullHttpRequest {
        val timeLeft = call.callerDeadline - clock.elapsed()
        val headers = codec.targetHeaders(call.request, target.entry, call.account?.id, timeLeft)
        if (call.body.isNotEmpty() ||
            call.request.method in METHODS_WITH_BODY
        ) {
            headers.set("Content-Length", call.body.size)
        }
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.request.method),
            call.request.target,
            Unpooled.wrappedBuffer(call.body),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
    }

    private suspend fun read(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val first =
            withTimeoutOrNull(call.deadline - clock.elapsed()) { parts.receive() }
                ?: return lateAnswer()
        return when (first) {
            is ResponsePart.Head -> passOn(call, target, connection, codec.responseHead(first.response), parts)
            is ResponsePart.Aborted -> lostAnswer(first.cause)
            else -> lostAnswer("an answer without a head")
        }
    }

    private suspend fun passOn(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val isStream = call.route.kind == RouteKind.STREAMING && head.isSuccess
        return when {
            head.isNotRun -> ReadResult(AttemptResult.NotRun("the target answered ${head.status}"), relay.skip(parts))
            head.isSuccess && !head.isSigned -> lostAnswer("an answer without a signature")
            head.impliesNotRun -> lostAnswer("the target answered ${head.status} without saying that it did not run")
            isStream -> relay.stream(call, target, connection, head, parts)
            else -> relay.whole(call, connection, head, parts)
        }
    }

    private companion object {
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
