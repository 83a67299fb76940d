package org.chestnutloom.edge.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.turn.EventStreamParser
import org.chestnutloom.edge.turn.TurnRecord
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.time.Clock
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Passes targets' answers on to callers. */
internal class ResponseRelay(
    private val turns: TurnStore,
    private val clock: Clock,
) {
    /** Reads an answer that is of no use, and returns whether it was read to its end. */
    suspend fun skip(parts: ReceiveChannel<ResponsePart>): Boolean =
        withTimeoutOrNull(SKIP_TIMEOUT) { collect(parts, MAX_SKIPPED_BYTES) } is CollectedBody.Whole

    /** Reads a whole answer before it passes it on, so that a broken one can be asked for again. */
    suspend fun whole(
        call: RoutedCall,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val collected =
            withTimeoutOrNull(call.deadline - clock.elapsed()) { collect(parts, MAX_COLLECTED_BYTES) }
                ?: return lateAnswer()
        return when (collected) {
            is CollectedBody.Whole -> {
                call.exchange.answer(head.status, head.headers, collected.body)
                ReadResult(AttemptResult.Answered(head.status, isWhole = true), isClean = true)
            }
            is CollectedBody.TooLong -> {
                call.exchange.start(head.status, head.headers)
                call.exchange.send(collected.body)
                end(call, head, isWhole = relayParts(call, connection, parts, events = null))
            }
            is CollectedBody.Broken -> lostAnswer(collected.cause)
        }
    }

    /** Passes a stream on as it comes. */
    suspend fun stream(
        call: RoutedCall,
        target: Target,
        connection: HttpConnection,
        head: ResponseHead,
        parts: ReceiveChannel<ResponsePart>,
    ): ReadResult {
        val events = EventStreamParser(collectsData = call.route.isRetained)
        target.cache.add(call.head.prompt)
        call.exchange.start(head.status, head.headers)
        var isWhole = false
        try {
            isWhole = relayParts(call, connection, parts, events)
        } finally {
            settle(call, events, isWhole)
        }
        return end(call, head, isWhole && keepTurn(call, target, events))
    }

    private fun end(
        call: RoutedCall,
        head: ResponseHead,
        isWhole: Boolean,
    ): ReadResult {
        if (isWhole) call.exchange.finish() else call.exchange.abort()
        return ReadResult(AttemptResult.Answered(head.status, isWhole), isClean = isWhole)
    }

    /** Passes [parts] on until the caller stops waiting, and returns whether their end came. */
    private suspend fun relayParts(
        call: RoutedCall,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
        events: EventStreamParser?,
    ): Boolean =
        withTimeoutOrNull(call.callerDeadline - clock.elapsed()) {
            relayToEnd(call, connection, parts, events)
        } ?: false

    private suspend fun relayToEnd(
        call: RoutedCall,
        connection: HttpConnection,
        parts: ReceiveChannel<ResponsePart>,
        events: EventStreamParser?,
    ): Boolean {
        for (part in parts) {
            when (part) {
                is ResponsePart.Data -> {
                    events?.read(part.bytes)
                    call.exchange.send(part.bytes)
                    keepPace(call, connection)
                }
                is ResponsePart.End -> return true
                is ResponsePart.Aborted -> return broken(call, part)
                is ResponsePart.Head -> return false
            }
        }
        return false
    }

    private fun broken(
        call: RoutedCall,
        part: ResponsePart.Aborted,
    ): Boolean {
        logger.warnEvent("answer_broken", "call" to call.id, "target" to call.lastTarget, "cause" to part.cause)
        return false
    }

    /** Stops reading from the target while the caller takes nothing. */
    private suspend fun keepPace(
        call: RoutedCall,
        connection: HttpConnection,
    ) {
        if (call.exchange.isWritable) return
        connection.setReading(false)
        call.exchange.awaitWritable()
        connection.setReading(true)
    }

    private fun settle(
        call: RoutedCall,
        events: EventStreamParser,
        isWhole: Boolean,
    ) {
        val reservation = call.reservation ?: return
        // The start of an event that broke off may have been counted by the caller as well.
        val counted = if (isWhole) events.events else events.events + 1
        val tokensPerEvent = call.service.engine?.tokensPerEvent ?: 1
        reservation.settle(counted.toLong() * tokensPerEvent)
    }

    /** Stores a turn before its answer ends, and returns whether it will last. */
    private suspend fun keepTurn(
        call: RoutedCall,
        target: Target,
        events: EventStreamParser,
    ): Boolean {
        val chain = call.chain ?: return true
        val record =
            TurnRecord(
                id = call.id,
                account = call.account?.id,
                ancestors = chain.ids,
                input = call.request.body,
                output = events.output(),
                target = target.entry.id,
            )
        return turns.save(record)
    }

    private suspend fun collect(
        parts: ReceiveChannel<ResponsePart>,
        maxBytes: Int,
    ): CollectedBody {
        val body = ByteArrayOutputStream()
        for (part in parts) {
            when (part) {
                is ResponsePart.Data -> body.write(part.bytes)
                is ResponsePart.End -> return CollectedBody.Whole(body.toByteArray())
                is ResponsePart.Aborted -> return CollectedBody.Broken(part.cause)
                is ResponsePart.Head -> return CollectedBody.Broken("a second head")
            }
            if (body.size() > maxBytes) return CollectedBody.TooLong(body.toByteArray())
        }
        return CollectedBody.Broken("the answer has no end")
    }

    private companion object {
        private const val MAX_COLLECTED_BYTES = 256 * 1024
        private const val MAX_SKIPPED_BYTES = 64 * 1024
        private val SKIP_TIMEOUT = 50.milliseconds
    }
}
