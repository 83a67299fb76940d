package org.chestnutloom.sidecar.gate

import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices that this process was paused, and holds back new work for [hold] after that.
 *
 * Heartbeats that lay unread during the pause look new when they are read, so those that are read within the hold do
 * not count.
 */
internal class PauseGuard(
    private val clock: Clock,
    private val mechanisms: Mechanisms,
    private val hold: Duration,
) {
    private var lastTick: Duration? = null
    private var heldUntil: Duration = Duration.ZERO

    /** Shows that the process runs; it is called all the time once the process is under way. */
    @Synchronized
    fun tick() {
        notice()
        lastTick = clock.elapsed()
    }

    /** Tells whether a pause ended less than [hold] ago. */
    @Synchronized
    fun isHolding(): Boolean {
        notice()
        return clock.elapsed() < heldUntil
    }

    private fun notice() {
        val last = lastTick ?: return
        val now = clock.elapsed()
        if (now - last <= MAX_GAP || !mechanisms.has(Mechanism.FRESHNESS)) return
        lastTick = now
        heldUntil = now + hold
    }

    private companion object {
        /** A longer time without a tick counts as a pause. */
        val MAX_GAP = 1_500.milliseconds
    }
}
