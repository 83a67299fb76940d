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
 * Holds the calls that wait for the target, and lets at most so many of them run as [maxRunning] says.
 *
 * @property starter starts calls that have left the queue, or refuses them
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

    /** The call that runs alone, or waits for the calls under way to end before it does. */
    private var lone: CallId? = null

    /** Puts [record] into the queue; returns why not when its wait would be too long. */
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

    /** Starts queued calls as long as the target has room. */
    fun dispatch() {
        while (!starter.isHolding()) {
            val record = lock.withLock { next() } ?: return
            val id = record.request.id
            val isStarted = starter.start(record) { usedTokens, service -> finish(id, usedTokens, service) }
            if (!isStarted) release(id, usedTokens = 0, service = null)
        }
    }

    /** Takes a waiting call out and returns it, or null when it does not wait any more. */
    fun remove(id: CallId): CallRecord? =
        lock.withLock {
            val record = waiting.remove(id) ?: return null
            if (queue.remove(id) == null) release(id, usedTokens = 0, service = null)
            record
        }

    /** Takes out the waiting calls that [isTaken] names, and returns them. */
    fun removeAll(isTaken: (CallRecord) -> Boolean): List<CallRecord> =
        lock.withLock { waiting.values.filter(isTaken).mapNotNull { remove(it.request.id) } }

    fun load(): QueueLoad =
        lock.withLock {
            val wait = estimator.expectedWait(queue.queuedTokens, running.size, maxRunning())
            QueueLoad(waiting.size, queue.queuedTokens, running.size, wait)
        }

    /** Frees the place of the running call [id], which ran for [service], or not at all when that is null. */
    private fun finish(
        id: CallId,
        usedTokens: Long,
        service: Duration?,
    ) {
        release(id, usedTokens, service)
        dispatch()
    }

    private fun next(): CallRecord? {
        if (lone != null) return startLone()
        if (running.size >= maxRunning()) return null
        val call = queue.poll(clock.elapsed()) ?: return null
        running[call.id] = call
        val record = waiting.getValue(call.id)
        if (!starter.mustRunAlone(record)) return waiting.remove(call.id)
        lone = call.id
        return startLone()
    }

    /** Returns the lone call once nothing else runs, and null before that and after. */
    private fun startLone(): CallRecord? {
        if (running.size > 1) return null
        return waiting.remove(lone)
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
            if (lone == id) lone = null
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
