package org.chestnutloom.sidecar.call

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.flow.update
import org.chestnutloom.call.Refusal
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.CallAccepted
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.CallStarted
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.CallStatus
import org.chestnutloom.wire.message.LinkReply
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * One run of a call, apart from the streams that asked for it.
 *
 * @property sender the peer that sent or attached the call last
 * @property reservedBytes memory set aside for the call's request and answer
 */
internal class CallRecord(
    val request: CallRequest,
    @Volatile var sender: PeerIdentity,
    val arrivedAt: Duration,
    val reservedBytes: Long,
) {
    private val progress = MutableStateFlow(CallProgress())

    /** Completes with the reason when the run is to be stopped on purpose. */
    val stopRequest: CompletableDeferred<Refusal> = CompletableDeferred()

    private val crashed = AtomicBoolean()

    /** Whether the call was in flight at a crash. */
    val hasCrashed: Boolean
        get() = crashed.get()

    /** When the first chunk came, on the monotonic clock, or null before that. */
    @Volatile
    var firstChunkAt: Duration? = null
        private set

    val current: CallProgress
        get() = progress.value

    val isEnded: Boolean
        get() = current.end != null

    fun markStarted(queuedMs: Long) {
        progress.update { it.started(queuedMs) }
    }

    fun append(
        chunk: String,
        now: Duration,
    ) {
        if (firstChunkAt == null) firstChunkAt = now
        progress.update { it.with(chunk) }
    }

    /** Ends the call with [reply]; the first end stands. */
    fun end(reply: LinkReply) {
        progress.update { it.ended(reply) }
    }

    /** Notes that the call was in flight at a crash; returns false when that was noted before. */
    fun markCrashed(): Boolean = crashed.compareAndSet(false, true)

    /** Asks a running call to stop for [reason]. */
    fun stop(reason: Refusal) {
        stopRequest.complete(reason)
    }

    /** Returns the replies from chunk [fromChunk] to the end of the call. */
    fun replies(fromChunk: Int): Flow<LinkReply> =
        flow {
            emit(CallAccepted(state()))
            var startSent = false
            var next = fromChunk
            val rest =
                progress.transformWhile<CallProgress, LinkReply> { snapshot ->
                    if (!startSent && snapshot.queuedMs != null) {
                        startSent = true
                        emit(CallStarted(snapshot.queuedMs))
                    }
                    while (next < snapshot.chunks.size) {
                        emit(CallChunk(next, snapshot.chunks[next]))
                        next++
                    }
                    snapshot.end?.let { emit(it) }
                    snapshot.end == null
                }
            rest.collect { emit(it) }
        }

    fun status(): CallStatus {
        val end = current.end
        return CallStatus(state(), end as? CallEnded, (end as? CallRefused)?.refusal)
    }

    private fun state(): CallState =
        when {
            isEnded -> CallState.ENDED
            current.queuedMs != null -> CallState.RUNNING
            else -> CallState.QUEUED
        }
}
