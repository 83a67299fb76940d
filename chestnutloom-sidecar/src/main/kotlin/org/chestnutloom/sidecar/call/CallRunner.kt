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

/** Runs calls on the target and turns what the target does into the last reply of each call. */
internal class CallRunner(
    private val target: Target,
    private val monitor: TargetMonitor,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
    private val backoff: Backoff = Backoff(),
) {
    /** Runs [record] to its end and returns its last reply. */
    suspend fun run(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply {
        val limit = record.request.runTimeoutMs.milliseconds
        val reply = withTimeoutOrNull(limit) { runUnlessStopped(record, traceParent) }
        if (reply == null) target.cancel(record.request.id)
        return reply ?: EndReplies.refused(record, Refusals.timeout)
    }

    private suspend fun runUnlessStopped(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply =
        coroutineScope {
            val work = async { execute(record, traceParent) }
            val stopped =
                select {
                    work.onAwait { it }
                    record.stopRequest.onAwait { null }
                }
            if (stopped != null) return@coroutineScope stopped
            work.cancel()
            target.cancel(record.request.id)
            EndReplies.refused(record, record.stopRequest.await())
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
            if (event != silent) failures++
            metrics.recordResume()
            delay(backoff.delay(failures, Random.Default))
            event = afterSending(lastEvent(record) { target.resume(record.request.id, before) })
            if (record.current.chunks.size > before) failures = 0
        }
        val serviceMs = (clock.elapsed() - startedAt).inWholeMilliseconds
        return EndReplies.of(record, event, serviceMs)
    }

    /** Collects the answer's chunks and returns the event that ended it. */
    private suspend fun lastEvent(
        record: CallRecord,
        answer: () -> Flow<TargetEvent>,
    ): TargetEvent =
        coroutineScope {
            val events = answer().buffer(Channel.RENDEZVOUS).produceIn(this)
            var event = nextEvent(record, events)
            while (event is TargetEvent.Chunk) {
                record.append(event.data, clock.elapsed())
                event = nextEvent(record, events)
            }
            events.cancel()
            event
        }

    /** Waits for the next event; a stream that stays silent is taken up anew, since its connection may be dead. */
    private suspend fun nextEvent(
        record: CallRecord,
        events: ReceiveChannel<TargetEvent>,
    ): TargetEvent {
        if (!record.request.isEngineStream) return events.receiveCatching().getOrNull() ?: nothing
        val limit = if (record.current.chunks.isEmpty()) FIRST_CHUNK_SILENCE else CHUNK_SILENCE
        return withTimeoutOrNull(limit) { events.receiveCatching().getOrNull() ?: nothing } ?: silent
    }

    /** Tells whether the engine may still hold the rest of a stream that was cut off. */
    private suspend fun canResume(
        record: CallRecord,
        event: TargetEvent,
    ): Boolean {
        val failure = (event as? TargetEvent.Failed)?.failure ?: return false
        if (failure == TargetFailure.Silent) return true
        if (failure !is TargetFailure.Lost && failure != TargetFailure.UnknownRequest) return false
        val isGone = monitor.onLost(record, failure) || failure == TargetFailure.UnknownRequest
        return !isGone && record.request.isEngineStream
    }

    /** The call was sent before it is resumed, so a resumption that was not sent counts as lost. */
    private fun afterSending(event: TargetEvent): TargetEvent {
        val failure = (event as? TargetEvent.Failed)?.failure
        return if (failure is TargetFailure.NotSent) lost(failure.detail) else event
    }

    private val CallRequest.isEngineStream: Boolean
        get() = kind == CallKind.MODEL && stream

    private companion object {
        val nothing = lost("The target sent nothing.")
        val silent = TargetEvent.Failed(TargetFailure.Silent)
        val FIRST_CHUNK_SILENCE = 15.seconds
        val CHUNK_SILENCE = 5.seconds
        const val MAX_RESUMES = 6
    }
}
