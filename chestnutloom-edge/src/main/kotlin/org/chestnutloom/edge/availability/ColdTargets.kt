package org.chestnutloom.edge.availability

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * Tells which targets are cold, from the entries that they write; confined to the event loop.
 *
 * The remaining time counts from the arrival of an entry, so that a delay of the store keeps a target cold for longer,
 * never for a shorter time.
 */
internal class ColdTargets(
    private val directory: TargetDirectory,
    private val clock: Clock,
) {
    private val states = HashMap<Target, ColdTargetState>()

    /** The number of cold targets. */
    val count: Int
        get() = states.keys.count(::isCold)

    init {
        directory.onChange(::refresh)
    }

    /** Returns whether [target] is cold now. */
    fun isCold(target: Target): Boolean = states[target].let { it != null && clock.elapsed() < it.coldUntil }

    /** Returns the state of [target], or null if it is no longer registered. */
    fun stateOf(target: Target): ColdTargetState? = states[target]

    private fun refresh() {
        if (states.size > directory.all.size) states.keys.retainAll(directory.all.toSet())
        directory.all.forEach(::refresh)
    }

    private fun refresh(target: Target) {
        val state = states.getOrPut(target) { ColdTargetState() }
        if (state.entry === target.entry) return
        state.entry = target.entry
        val remaining = target.entry.coldRemaining
        state.coldUntil = if (remaining > Duration.ZERO) clock.elapsed() + remaining else Duration.ZERO
    }
}
