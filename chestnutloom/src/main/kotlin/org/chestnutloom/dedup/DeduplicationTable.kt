package org.chestnutloom.dedup

import org.chestnutloom.id.CallId
import kotlin.time.Duration

/**
 * Remembers the ids of calls so that each runs at most once.
 *
 * All operations are linearizable and never block. An attempt number tells a deliberate repeat, whose number is
 * higher, from a late duplicate of a request, whose number is not.
 */
public interface DeduplicationTable<T : Any> {
    /** Number of ids in the table. */
    public val size: Int

    /** Claims [id] for one run; [create] is used only when this is the first claim, or a repeat that may run. */
    public fun claim(
        id: CallId,
        attempt: Int,
        create: () -> T,
    ): Claim<T>

    /** Marks a queued call as running; returns false when it is not queued any more, and then it must not start. */
    public fun start(
        id: CallId,
        attempt: Int,
    ): Boolean

    /** Marks a running call as ended; with [isRetryable], a higher attempt may run again. */
    public fun end(
        id: CallId,
        attempt: Int,
        isRetryable: Boolean,
    ): Boolean

    /** Marks a call as not run, which only its holder may know; a higher attempt may run. */
    public fun markNotRun(
        id: CallId,
        attempt: Int,
    ): Boolean

    /** Refuses an unknown [id] for good, and with [includeQueued] also a queued one, and returns what it found. */
    public fun fence(
        id: CallId,
        includeQueued: Boolean,
    ): RunStatus<T>

    /** Returns what is known of [id], or null when it is unknown. */
    public fun find(id: CallId): RunStatus<T>?

    /** Returns what belongs to the calls that are running. */
    public fun running(): List<T>

    /** Drops what belongs to an ended call, and keeps its id; returns what was dropped. */
    public fun forget(id: CallId): T?

    /** Drops [id] itself, so that it may run again. */
    public fun remove(id: CallId)

    /** Drops ids whose last change was before [before], unless they are queued or running; returns their values. */
    public fun expireIds(before: Duration): List<T>

    /** Drops the values of calls that ended before [before], and returns these values. */
    public fun expireValues(before: Duration): List<T>
}
