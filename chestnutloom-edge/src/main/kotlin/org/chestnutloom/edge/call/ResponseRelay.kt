package org.chestnutloom.edge.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.ResponseFraming
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.turn.EventStreamParser
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.edge.turn.TurnRecord
import org.chestnutloom.time.Clock
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Relays target responses to callers. */
internal class ResponseRelay(
    private val check: CompletionCheck,
    private val clock: Clock,
) {
    /** Drains an unwanted response and returns whether it was read completely. */
    suspend fun drain(parts: ReceiveChannel<ResponsePart>): Boolean =
        withTimeoutOrNull(DRAIN_TIMEOUT) { collect(parts, MAX_DRAINED_BYTES) } is CollectedBody.Complete

    /** Buffers the response before relaying it, so that the call can be retried if the response is aborted. */
    suspend fun relayBuffered(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val collected =
            withTimeoutOrNull(call.deadline - clock.elapsed()) { collect(parts, MAX_BUFFERED_BYTES) }
                ?: return timedOutResponse()
        return when (collected) {
            is CollectedBody.Complete -> respondIfComplete(call, target, connection, head, collected)
            is CollectedBody.TooLarge -> relayRest(call, target, connection, head, collected, parts)
            is CollectedBody.Aborted -> lostResponse(collected.cause)
        }
    }

    /** Relays a response that is too large to buffer: the [collected] part, and the others as they arrive. */
    private suspend fun relayRest(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        collected: CollectedBody.TooLarge,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val content = plainContent(head)
        content.read(collected.body)
        removeStreamLength(head, content)
        call.exchange.start(head.status, head.headers)
        call.exchange.send(collected.body)
        return finishResponse(call, head, relayUntilDeadline(call, target, connection, parts, content), eventCount = 0)
    }

    /** Responds with the whole body, unless nothing shows that it is whole. */
    private suspend fun respondIfComplete(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        collected: CollectedBody.Complete,
    ): ReadResult {
        val content = plainContent(head)
        content.read(collected.body)
        val end =
            withTimeoutOrNull(call.deadline - clock.elapsed()) {
                checkEnd(call, target, connection, collected.end, content)
            } ?: return timedOutResponse()
        if (end is BodyEnd.Broken) return lostResponse(end.cause)
        call.bodyEnd = end
        call.exchange.respond(head.status, head.headers, collected.body)
        return ReadResult(AttemptResult.Responded(head.status, isComplete = true), isConnectionReusable = true)
    }

    /**
     * Relays a streamed response as its parts arrive.
     *
     * The response to a turn is not ended here, but once the turn is durable.
     */
    suspend fun relayStream(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val events = EventStreamParser(collectsData = call.route.isRetained)
        val content = BodyContent(events, isEventStream = head.isEventStream ?: true)
        target.cache.add(call.head.prompt)
        // With a length, the response to a turn would look complete with its last byte, before the turn is durable.
        if (call.chain != null) head.headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        removeStreamLength(head, content)
        call.exchange.start(head.status, head.headers)
        var end: BodyEnd? = null
        try {
            end = relayUntilDeadline(call, target, connection, parts, content)
        } finally {
            settleReservation(call, events, isComplete = end is BodyEnd.Complete)
        }
        val chain = call.chain
        if (end !is BodyEnd.Complete || chain == null) return finishResponse(call, head, end, events.eventCount)
        val turn = turnOf(call, chain, target, events)
        val result = AttemptResult.Responded(head.status, isComplete = true, turn, eventCount = events.eventCount)
        return ReadResult(result, isConnectionReusable = true)
    }

    private fun finishResponse(
        call: RoutedCall,
        head: ResponseHead,
        end: BodyEnd,
        eventCount: Int,
    ): ReadResult {
        val isComplete = end is BodyEnd.Complete
        if (isComplete) call.exchange.finish() else call.exchange.abort()
        val isTargetFailure = end is BodyEnd.Broken && end.isTargetFailure
        val responded = AttemptResult.Responded(head.status, isComplete, null, isTargetFailure, eventCount)
        return ReadResult(responded, isConnectionReusable = isComplete)
    }

    private fun tooLarge() = BodyEnd.Broken("event or stream is too large", isTargetFailure = false)

    /** Relays [parts] until the caller's deadline and returns how they ended. */
    private suspend fun relayUntilDeadline(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
        content: BodyContent,
    ): BodyEnd {
        val end =
            withTimeoutOrNull(call.callerDeadline - clock.elapsed()) {
                relayParts(call, target, connection, parts, content)
            } ?: BodyEnd.Broken("deadline passed before the response ended", isTargetFailure = false)
        call.bodyEnd = end
        if (end is BodyEnd.Broken) logBroken(call, end)
        return end
    }

    private suspend fun relayParts(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
        content: BodyContent,
    ): BodyEnd {
        for (part in parts) {
            when (part) {
                is ResponsePart.Data -> {
                    content.read(part.bytes)
                    if (content.isTooLarge) return tooLarge()
                    call.exchange.send(part.bytes)
                    applyBackpressure(call, connection)
                }
                is ResponsePart.End -> return checkEnd(call, target, connection, part, content)
                is ResponsePart.Aborted -> return BodyEnd.Broken(part.cause)
                is ResponsePart.Head -> return BodyEnd.Broken("unexpected second response head")
            }
        }
        return BodyEnd.Broken("response ended without its last part")
    }

    private suspend fun checkEnd(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        end: ResponsePart.End,
        content: BodyContent,
    ): BodyEnd {
        val evidence = BodyEvidence(end.framing, content.end)
        call.bodyEvidence = evidence
        val bodyEnd = check.check(target, evidence, checkNotNull(call.runWatch))
        val isReset = evidence.framing == ResponseFraming.CONNECTION && connection.isReset
        return if (isReset) BodyEnd.Broken("connection was reset behind its end") else bodyEnd
    }

    /** Removes the length of a stream, which would look complete with its last byte, before its end is checked. */
    private fun removeStreamLength(
        head: ResponseHead,
        content: BodyContent,
    ) {
        if (content.isEventStream) head.headers.remove(HttpHeaderNames.CONTENT_LENGTH)
    }

    private fun logBroken(
        call: RoutedCall,
        end: BodyEnd.Broken,
    ) {
        logger.warnEvent(
            "answer_broken",
            "call" to call.id,
            "program" to (call.head.program ?: "none"),
            "target" to call.lastTarget,
            "cause" to end.cause,
        )
    }

    /** Pauses reading from the target until the caller's connection is writable. */
    private suspend fun applyBackpressure(
        call: RoutedCall,
        connection: HttpConnection,
    ) {
        if (call.exchange.isWritable) return
        connection.setReading(false)
        call.exchange.awaitWritable()
        connection.setReading(true)
    }

    private fun settleReservation(
        call: RoutedCall,
        events: EventStreamParser,
        isComplete: Boolean,
    ) {
        val reservation = call.reservation ?: return
        // The caller may have counted the partial event at which the stream was aborted.
        val countedEvents = if (isComplete) events.eventCount else events.eventCount + 1
        reservation.complete(tokensOf(call, countedEvents), isWhole = isComplete)
    }

    private fun tokensOf(
        call: RoutedCall,
        eventCount: Int,
    ): Long = eventCount.toLong() * (call.service.engine?.tokensPerEvent ?: 1)

    private fun turnOf(
        call: RoutedCall,
        chain: TurnChain,
        target: Target,
        events: EventStreamParser,
    ): TurnRecord =
        TurnRecord(
            id = call.id,
            account = call.account?.id,
            ancestors = chain.ids,
            input = call.request.body,
            output = events.output(),
            target = target.entry.id,
            generatedTokens = tokensOf(call, events.eventCount),
            ancestorBytes = chain.turns.map { it.sizeBytes },
        )

    private suspend fun collect(
        parts: ReceiveChannel<ResponsePart>,
        maxBytes: Int,
    ): CollectedBody {
        val body = ByteArrayOutputStream()
        for (part in parts) {
            when (part) {
                is ResponsePart.Data -> body.write(part.bytes)
                is ResponsePart.End -> return CollectedBody.Complete(body.toByteArray(), part)
                is ResponsePart.Aborted -> return CollectedBody.Aborted(part.cause)
                is ResponsePart.Head -> return CollectedBody.Aborted("unexpected second response head")
            }
            if (body.size() > maxBytes) return CollectedBody.TooLarge(body.toByteArray())
        }
        return CollectedBody.Aborted("response ended without its last part")
    }

    private companion object {
        private const val MAX_BUFFERED_BYTES = 256 * 1024
        private const val MAX_DRAINED_BYTES = 64 * 1024
        private val DRAIN_TIMEOUT = 50.milliseconds
    }
}
