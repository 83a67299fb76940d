package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import kotlin.time.Duration

/** Orders the calls queued for one target. Not thread-safe. */
public interface CallQueue {
    /** Number of calls in the queue. */
    public val size: Int

    /** Total cost of the calls in the queue. */
    public val queuedTokens: Long

    /** Adds [call], whose id must not be in the queue. */
    public fun add(call: QueuedCall)

    /** Removes and returns the next call to start, or null if the queue is empty. */
    public fun poll(now: Duration): QueuedCall?

    /** Removes and returns the call [id], or null if it is not in the queue. */
    public fun remove(id: CallId): QueuedCall?

    /** Returns the estimated cost of the calls that would start before [call] if it were added now. */
    public fun tokensAhead(call: QueuedCall): Long

    /** Records the end of a polled [call] and corrects its estimated cost to [usedTokens]. */
    public fun complete(
        call: QueuedCall,
        usedTokens: Long,
    )
}
