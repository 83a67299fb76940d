package org.chestnutloom.dedup

import org.chestnutloom.id.CallId
import kotlin.time.Duration

/**
 * Records call ids so that each call runs at most once.
 *
 * All operations are linearizable and never block. The attempt number distinguishes a deliberate retry, whose number is
 * higher than that of the recorded attempt, from a late duplicate of a request.
 */
public interface DeduplicationTable<T : Any> {
    /** Number of ids in the table. */
    public val size: Int

    /** Claims [id] for one run. [create] is called only if this is the first claim or a retry that may run. */
    public fun claim(
        id: CallId,
        attempt: Int,
        create: () -> T,
    ): Claim<T>

    /** Marks a queued call as running. If this returns false, the call is no longer queued and must not start. */
    public fun start(
        id: CallId,
        attempt: Int,
    ): Boolean

    /** Marks a running call as ended. If [isRetryable], a higher attempt may run. */
    public fun end(
        id: CallId,
        attempt: Int,
        isRetryable: Boolean,
    ): Boolean

    /** Marks a claimed call as not run, so that a higher attempt may run; to be called only by the claim's holder. */
    public fun markNotRun(
        id: CallId,
        attempt: Int,
    ): Boolean

    /** Refuses [id] permanently if it is unknown, or queued with [includeQueued]; returns the resulting status. */
    public fun fence(
        id: CallId,
        includeQueued: Boolean,
    ): RunStatus<T>

    /** Returns the status of [id], or null if it is unknown. */
    public fun find(id: CallId): RunStatus<T>?

    /** Returns the values of the running calls. */
    public fun running(): List<T>

    /** Drops the value of an ended call but keeps its id; returns the dropped value. */
    public fun forget(id: CallId): T?

    /** Removes [id], so that it may run again. */
    public fun remove(id: CallId)

    /** Removes ids last changed before [before], unless they are queued or running; returns their values. */
    public fun expireIds(before: Duration): List<T>

    /** Drops and returns the values of calls that ended before [before]. */
    public fun expireValues(before: Duration): List<T>
}
