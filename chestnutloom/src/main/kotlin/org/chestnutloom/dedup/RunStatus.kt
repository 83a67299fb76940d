package org.chestnutloom.dedup

/**
 * What a [DeduplicationTable] knows of a call.
 *
 * @property value what belongs to the call's claim, or null when nothing is kept
 */
public data class RunStatus<out T : Any>(
    public val state: RunState,
    public val value: T?,
)
