package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetDirectory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides whether a target may be ejected, and for how long. */
internal class EjectionPolicy(
    private val directory: TargetDirectory,
) {
    /** Returns whether the service of [target] has enough other targets in use. */
    fun canEject(target: Target): Boolean {
        val targets = directory.ready(target.entry.service)
        if (targets.size <= 1) return false
        val maxEjected = (targets.size / TARGETS_PER_EJECTED).coerceAtLeast(1)
        return targets.count { it.outlier.isEjected } < maxEjected
    }

    /** Returns the number of failures that ejects a target at [now]; one suffices right after a readmission. */
    fun minFailures(
        state: OutlierState,
        now: Duration,
    ): Int = if (state.isOnProbation(now)) 1 else MIN_FAILURES

    /** Returns how long the next ejection of a target with [state] lasts, and counts it. */
    fun nextDuration(
        state: OutlierState,
        now: Duration,
    ): Duration {
        val decayed = state.readmittedAt?.let { ((now - it) / EJECTION_DECAY_INTERVAL).toInt() } ?: 0
        state.ejectionCount = (state.ejectionCount - decayed).coerceAtLeast(0) + 1
        val doublings = (state.ejectionCount - EJECTIONS_AT_BASE).coerceIn(0, MAX_DOUBLINGS)
        return BASE_DURATION * (1 shl doublings)
    }

    companion object {
        /** How long a target is out of use after its first ejections. */
        val BASE_DURATION: Duration = 1.seconds

        /** A service keeps two thirds of its targets in use, or one of two. */
        private const val TARGETS_PER_EJECTED = 3

        /** Fewer failures may be due to single requests or connections. */
        private const val MIN_FAILURES = 3

        /** Faults of up to about four seconds are over by then, and a target must be back a second after them. */
        private const val EJECTIONS_AT_BASE = 4

        /** Ejections last up to 8 s, so that a target that stays bad gets few trial requests. */
        private const val MAX_DOUBLINGS = 3

        /** The count of ejections falls by one for each such period in use. */
        private val EJECTION_DECAY_INTERVAL = 5.seconds
    }
}
