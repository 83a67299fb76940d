package org.chestnutloom.dedup

import kotlin.time.Duration

/** An immutable entry of a deduplication table. */
internal data class RunEntry<T : Any>(
    val state: RunState,
    val attempt: Int,
    val value: T?,
    val changedAt: Duration,
    val isRetryable: Boolean = false,
) {
    val isOpen: Boolean
        get() = state == RunState.QUEUED || state == RunState.RUNNING

    /** Returns whether [newAttempt] may run given this entry. */
    fun admits(newAttempt: Int): Boolean {
        if (newAttempt <= attempt) return false
        return state == RunState.NOT_RUN || state == RunState.ENDED && isRetryable
    }

    fun status(): RunStatus<T> = RunStatus(state, value)
}
