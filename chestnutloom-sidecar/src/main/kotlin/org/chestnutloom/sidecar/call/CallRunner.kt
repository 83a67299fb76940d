package org.chestnutloom.sidecar.call

import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.CallKind
import org.chestnutloom.retry.Backoff
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetFailure
import org.chestnutloom.sidecar.target.TargetMonitor
import org.chestnutloom.sidecar.target.lost
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.LinkReply
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs calls on the target and maps the outcome to the final reply of each call. */
internal class CallRunner(
    private val target: Target,
    private val monitor: TargetMonitor,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
    private val backoff: Backoff = Backoff(),
) {
    /** Runs [record] until it ends or times out, and returns its final reply. */
    suspend fun run(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply {
        val limit = record.request.runTimeoutMs.milliseconds
        val reply = withTimeoutOrNull(limit) { runUnlessCancelled(record, traceParent) }
        if (reply == null) target.cancel(record.request.id)
        return reply ?: FinalReplies.refusedReply(record, Refusals.timeout)
    }

    private suspend fun runUnlessCancelled(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply =
        coroutineScope {
            val execution = async { execute(record, traceParent) }
            val reply =
                select {
                    execution.onAwait { it }
                    record.cancelRequest.onAwait { null }
                }
            if (reply != null) return@coroutineScope reply
            execution.cancel()
            target.cancel(record.request.id)
            FinalReplies.refusedReply(record, record.cancelRequest.await())
        }

    private suspend fun execute(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply {
        val startedAt = clock.elapsed()
        var event = lastEvent(record) { target.run(record.request, traceParent) }
        var failures = 0
        while (canResume(record, event) && failures < MAX_RESUMES) {
            val before = record.current.chunks.size
            // A silent connection does not use up the resumes, because the run timeout limits the call.
            if (event != unresponsive) failures++
            metrics.recordResume()
            delay(backoff.delay(failures, Random.Default))
            event = afterSending(lastEvent(record) { target.resume(record.request.id, before) })
            if (record.current.chunks.size > before) failures = 0
        }
        val serviceMs = (clock.elapsed() - startedAt).inWholeMilliseconds
        return FinalReplies.of(record, event, serviceMs)
    }

    /** Appends the chunks of the response to [record], and returns the event that ended the response. */
    private suspend fun lastEvent(
        record: CallRecord,
        openResponse: () -> Flow<TargetEvent>,
    ): TargetEvent =
        coroutineScope {
            val events = openResponse().buffer(Channel.RENDEZVOUS).produceIn(this)
            var event = nextEvent(record, events)
            while (event is TargetEvent.Chunk) {
                record.append(event.data, clock.elapsed())
                event = nextEvent(record, events)
            }
            events.cancel()
            event
        }

    /** Waits for the next event; an engine stream times out, because its connection may have failed undetected. */
    private suspend fun nextEvent(
        record: CallRecord,
        events: ReceiveChannel<TargetEvent>,
    ): TargetEvent {
        if (!record.request.isEngineStream) return events.receiveCatching().getOrNull() ?: emptyResponse
        val limit = if (record.current.chunks.isEmpty()) FIRST_CHUNK_TIMEOUT else CHUNK_TIMEOUT
        return withTimeoutOrNull(limit) { events.receiveCatching().getOrNull() ?: emptyResponse } ?: unresponsive
    }

    /** Returns whether the engine may still have the rest of an aborted stream. */
    private suspend fun canResume(
        record: CallRecord,
        event: TargetEvent,
    ): Boolean {
        val failure = (event as? TargetEvent.Failed)?.failure ?: return false
        if (failure == TargetFailure.Unresponsive) return true
        if (failure !is TargetFailure.Lost && failure != TargetFailure.UnknownRequest) return false
        val isTerminated = monitor.onLost(record, failure) || failure == TargetFailure.UnknownRequest
        return !isTerminated && record.request.isEngineStream
    }

    /** The call itself was sent before, so a resume request that was not sent counts as a lost connection. */
    private fun afterSending(event: TargetEvent): TargetEvent {
        val failure = (event as? TargetEvent.Failed)?.failure
        return if (failure is TargetFailure.NotSent) lost(failure.detail) else event
    }

    private val CallRequest.isEngineStream: Boolean
        get() = kind == CallKind.MODEL && stream

    private companion object {
        val emptyResponse = lost("the target sent no response")
        val unresponsive = TargetEvent.Failed(TargetFailure.Unresponsive)
        val FIRST_CHUNK_TIMEOUT = 15.seconds
        val CHUNK_TIMEOUT = 5.seconds
        const val MAX_RESUMES = 6
    }
}
