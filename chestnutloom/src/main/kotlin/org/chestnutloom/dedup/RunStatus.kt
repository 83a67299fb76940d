package org.chestnutloom.dedup

/**
 * The status of a call in a [DeduplicationTable].
 *
 * @property value the value of the call's claim, or null if none is kept
 */
public data class RunStatus<out T : Any>(
    public val state: RunState,
    public val value: T?,
)
