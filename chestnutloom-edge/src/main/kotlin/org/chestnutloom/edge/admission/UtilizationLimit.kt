package org.chestnutloom.edge.admission

import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The fraction of the slots up to which programs end in time, adjusted by how fast programs run.
 *
 * Engines slow down as their batch grows, so the fraction rises while programs are well within the time that their
 * callers allow, and falls when they are not. It doesn't depend on the costs of a particular engine.
 */
internal class UtilizationLimit(
    private val clock: Clock,
) {
    private var updatedAt: Duration? = null

    /** The current fraction. */
    var fraction: Double = INITIAL
        private set

    /**
     * Adjusts the fraction to [pace], the duration that most programs don't exceed, relative to what callers allow.
     *
     * It rises only if [isReached], since the pace under a lower load doesn't show what a higher one would cause.
     */
    fun update(
        pace: Double?,
        isReached: Boolean,
    ) {
        val now = clock.elapsed()
        val elapsed = (now - (updatedAt ?: now)).toDouble(DurationUnit.SECONDS).coerceAtMost(MAX_STEP_SECONDS)
        updatedAt = now
        if (pace == null) return
        val change =
            when {
                pace < FAST_PACE && isReached -> RISE_PER_SECOND
                pace > SLOW_PACE -> -FALL_PER_SECOND
                else -> 0.0
            }
        fraction = (fraction + change * elapsed).coerceIn(MIN, MAX)
    }

    private companion object {
        private const val INITIAL = 0.65

        /** Below half of the slots no program is refused, so a lower limit would have no effect. */
        private const val MIN = 0.5
        private const val MAX = 1.0

        /** Leave time for the requests between caller and gateway, which the gateway doesn't measure. */
        private const val FAST_PACE = 0.9
        private const val SLOW_PACE = 0.97

        /** Slower than a program ends, so that a change shows in the pace before the next; late programs cost more. */
        private const val RISE_PER_SECOND = 0.05
        private const val FALL_PER_SECOND = 0.15
        private const val MAX_STEP_SECONDS = 1.0
    }
}
