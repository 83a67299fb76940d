package org.chestnutloom.sidecar.schedule

import org.chestnutloom.call.Refusal
import org.chestnutloom.id.CallId
import org.chestnutloom.queue.CallQueue
import org.chestnutloom.queue.QueuedCall
import org.chestnutloom.queue.WaitEstimator
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.Refusals
import org.chestnutloom.time.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Queues the calls for the target, and runs at most [maxRunning] of them concurrently.
 *
 * @property starter starts or refuses the calls that are taken from the queue
 */
internal class CallScheduler(
    private val clock: Clock,
    private val queue: CallQueue,
    private val maxRunning: () -> Int,
    private val starter: CallStarter,
) {
    private val lock = ReentrantLock()
    private val waiting = HashMap<CallId, CallRecord>()
    private val running = HashMap<CallId, QueuedCall>()
    private val estimator = WaitEstimator()

    /** The call that runs alone, or that waits for the running calls to end so that it can. */
    private var exclusiveId: CallId? = null

    /** Adds [record] to the queue; returns a refusal if its expected wait exceeds its queue timeout. */
    fun submit(record: CallRecord): Refusal? {
        val call = record.toQueuedCall()
        lock.withLock {
            val wait = estimator.expectedWait(queue.tokensAhead(call), running.size, maxRunning())
            val limit = record.request.queueTimeoutMs.milliseconds
            if (wait > limit) return Refusals.overloaded((wait - limit).inWholeMilliseconds)
            queue.add(call)
            waiting[call.id] = record
        }
        dispatch()
        return null
    }

    /** Starts queued calls while the target has free slots. */
    fun dispatch() {
        while (!starter.isSuspended()) {
            val record = lock.withLock { next() } ?: return
            val id = record.request.id
            val isStarted = starter.start(record) { usedTokens, service -> finish(id, usedTokens, service) }
            if (!isStarted) release(id, usedTokens = 0, service = null)
        }
    }

    /** Removes a waiting call and returns it, or returns null if it is not waiting. */
    fun remove(id: CallId): CallRecord? =
        lock.withLock {
            val record = waiting.remove(id) ?: return null
            // The exclusive call has left the queue and occupies a slot while it waits for the running calls to end.
            if (queue.remove(id) == null) release(id, usedTokens = 0, service = null)
            record
        }

    /** Removes and returns the waiting calls for which [matches] returns true. */
    fun removeAll(matches: (CallRecord) -> Boolean): List<CallRecord> =
        lock.withLock { waiting.values.filter(matches).mapNotNull { remove(it.request.id) } }

    fun load(): QueueLoad =
        lock.withLock {
            val wait = estimator.expectedWait(queue.queuedTokens, running.size, maxRunning())
            QueueLoad(waiting.size, queue.queuedTokens, running.size, wait)
        }

    /** Frees the slot of the running call [id]; [service] is its service time, or null if it did not run. */
    private fun finish(
        id: CallId,
        usedTokens: Long,
        service: Duration?,
    ) {
        release(id, usedTokens, service)
        dispatch()
    }

    private fun next(): CallRecord? {
        if (exclusiveId != null) return startExclusive()
        if (running.size >= maxRunning()) return null
        val call = queue.poll(clock.elapsed()) ?: return null
        running[call.id] = call
        val record = waiting.getValue(call.id)
        if (!starter.mustRunAlone(record)) return waiting.remove(call.id)
        exclusiveId = call.id
        return startExclusive()
    }

    /** Returns the exclusive call when no other call is running, or null if it must wait or has been started. */
    private fun startExclusive(): CallRecord? {
        if (running.size > 1) return null
        return waiting.remove(exclusiveId)
    }

    private fun release(
        id: CallId,
        usedTokens: Long,
        service: Duration?,
    ) {
        lock.withLock {
            val call = running.remove(id) ?: return
            queue.complete(call, usedTokens)
            service?.let { estimator.record(call.costTokens, it) }
            if (exclusiveId == id) exclusiveId = null
        }
    }

    private fun CallRecord.toQueuedCall(): QueuedCall =
        QueuedCall(
            id = request.id,
            account = request.account,
            weight = request.accountWeight,
            costTokens = (request.promptTokens + request.maxCompletionTokens).coerceAtLeast(1),
            programServiceMs = request.programServiceMs,
            arrivedAt = arrivedAt,
        )
}
