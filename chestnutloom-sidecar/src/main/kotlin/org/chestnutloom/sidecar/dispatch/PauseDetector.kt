package org.chestnutloom.sidecar.dispatch

import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that this process was paused, and reports it as recovering for [recoveryTime] afterwards.
 *
 * Heartbeats that were buffered during the pause appear recent when they are read, so heartbeats that are read while
 * the process is recovering are ignored.
 */
internal class PauseDetector(
    private val clock: Clock,
    private val mechanisms: Mechanisms,
    private val recoveryTime: Duration,
) {
    private var lastTick: Duration? = null
    private var recoveringUntil: Duration = Duration.ZERO

    /** Records that the process is running; must be called more often than [MAX_GAP]. */
    @Synchronized
    fun tick() {
        detect()
        lastTick = clock.elapsed()
    }

    /** Returns whether a pause ended less than [recoveryTime] ago. */
    @Synchronized
    fun isRecovering(): Boolean {
        detect()
        return clock.elapsed() < recoveringUntil
    }

    private fun detect() {
        val last = lastTick ?: return
        val now = clock.elapsed()
        if (now - last <= MAX_GAP || !mechanisms.has(Mechanism.FRESHNESS)) return
        lastTick = now
        recoveringUntil = now + recoveryTime
    }

    private companion object {
        /** A longer interval between two ticks counts as a pause. */
        val MAX_GAP = 1_500.milliseconds
    }
}
