package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import kotlin.time.Duration

/** Returns a queue that starts calls in arrival order. */
public fun fifoQueue(): CallQueue = FifoQueue()

/** A queue in arrival order, regardless of client account. */
internal class FifoQueue : CallQueue {
    private val calls = LinkedHashMap<CallId, QueuedCall>()

    override val size: Int
        get() = calls.size

    override var queuedTokens: Long = 0
        private set

    override fun add(call: QueuedCall) {
        calls[call.id] = call
        queuedTokens += call.costTokens
    }

    override fun poll(now: Duration): QueuedCall? {
        val first = calls.keys.firstOrNull() ?: return null
        return remove(first)
    }

    override fun remove(id: CallId): QueuedCall? {
        val call = calls.remove(id) ?: return null
        queuedTokens -= call.costTokens
        return call
    }

    override fun tokensAhead(call: QueuedCall): Long = queuedTokens

    override fun complete(
        call: QueuedCall,
        usedTokens: Long,
    ) = Unit
}
