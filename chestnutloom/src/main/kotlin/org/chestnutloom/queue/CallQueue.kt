package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import kotlin.time.Duration

/** Orders the calls that wait for one target; it is not safe for concurrent use. */
public interface CallQueue {
    /** Number of calls in the queue. */
    public val size: Int

    /** Sum of the costs of the calls in the queue. */
    public val queuedTokens: Long

    /** Adds [call], whose id must not be in the queue. */
    public fun add(call: QueuedCall)

    /** Removes and returns the call that starts next, or null when the queue is empty. */
    public fun poll(now: Duration): QueuedCall?

    /** Removes and returns the call [id], or null when it is not in the queue. */
    public fun remove(id: CallId): QueuedCall?

    /** Returns the estimated cost of the calls that would start before [call] if it arrived now. */
    public fun tokensAhead(call: QueuedCall): Long

    /** Corrects the cost of a polled [call] to the [usedTokens] that it took. */
    public fun complete(
        call: QueuedCall,
        usedTokens: Long,
    )
}
