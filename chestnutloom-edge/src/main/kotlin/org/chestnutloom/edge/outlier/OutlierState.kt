package org.chestnutloom.edge.outlier

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What this gateway has observed of one run of a target; confined to the event loop. */
internal class OutlierState {
    /** All outcomes, as reported to other gateways. */
    val observed = OutcomeWindow()

    /** The outcomes since the target was readmitted, which decide whether it is ejected again. */
    val sinceReadmission = OutcomeWindow()

    /** Covers consecutive failed connection attempts; nothing ran, so that one of them suffices. */
    val connectBackoff = ConsecutiveBackoff(initial = 100.milliseconds, max = 800.milliseconds)

    /** Covers rejections because the target is full. Its next slot is usually free after a fraction of a service time. */
    val fullBackoff = ConsecutiveBackoff(initial = 20.milliseconds, max = 100.milliseconds)

    /** Covers the time for which a lost request would have occupied its slot, so that failures do not attract load. */
    val lostBackoff = ConsecutiveBackoff(initial = 250.milliseconds, max = 250.milliseconds)

    /** The current ejection, or null while the target is in use. */
    var ejection: Ejection? = null

    /** The number of recent ejections; decays while the target is in use. */
    var ejectionCount = 0

    /** When the target was last readmitted, or null if it was not or is ejected again. */
    var readmittedAt: Duration? = null

    /** Whether the target is ejected or on trial. */
    val isEjected: Boolean
        get() = ejection != null

    /** Returns whether the target is in backoff after a lost request or because it was full. */
    fun isBackingOff(now: Duration): Boolean = fullBackoff.isActive(now) || lostBackoff.isActive(now)

    /** Returns whether the target was readmitted within [PROBATION], in which one failure ejects it again. */
    fun isOnProbation(now: Duration): Boolean = readmittedAt?.let { now - it < PROBATION } == true

    companion object {
        /** As long as the window, within which another failure of the target would be seen under traffic. */
        val PROBATION: Duration = 5.seconds
    }
}
