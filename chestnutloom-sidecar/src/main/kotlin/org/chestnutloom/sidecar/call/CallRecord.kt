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
 * One run of a call, independent of the reply streams that observe it.
 *
 * @property sender peer that most recently sent or attached to the call
 * @property reservedBytes memory reserved for the request and answer of the call
 */
internal class CallRecord(
    val request: CallRequest,
    @Volatile var sender: PeerIdentity,
    val arrivedAt: Duration,
    val reservedBytes: Long,
) {
    private val progress = MutableStateFlow(CallProgress())

    /** Completes with the reason when the cancellation of the running call is requested. */
    val cancelRequest: CompletableDeferred<Refusal> = CompletableDeferred()

    private val crashed = AtomicBoolean()

    /** Whether the call was in flight at a crash of the target. */
    val hasCrashed: Boolean
        get() = crashed.get()

    /** Arrival time of the first chunk on the monotonic clock, or null if no chunk has arrived. */
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
        progress.update { it.withChunk(chunk) }
    }

    /** Ends the call with [reply], unless it has already ended. */
    fun end(reply: LinkReply) {
        progress.update { it.ended(reply) }
    }

    /** Records that the call was in flight at a crash; returns false if this was already recorded. */
    fun markCrashed(): Boolean = crashed.compareAndSet(false, true)

    /** Requests that the running call be cancelled with [reason]. */
    fun requestCancellation(reason: Refusal) {
        cancelRequest.complete(reason)
    }

    /** Returns the replies of the call, with its chunks from index [fromChunk] on. */
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
