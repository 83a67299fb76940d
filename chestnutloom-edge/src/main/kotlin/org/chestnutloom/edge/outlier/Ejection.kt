package org.chestnutloom.edge.outlier

import kotlin.time.Duration

/**
 * The time for which a target is out of use, and the trial after it.
 *
 * @property since when the target went out of use, on the monotonic clock
 * @property until when the trial begins, on the monotonic clock
 */
internal class Ejection(
    val since: Duration,
    val until: Duration,
) {
    /** The trial requests that have a slot and are not sent yet. */
    var trialsAssigned: Int = 0

    /** The trial requests in flight. */
    var trialsInFlight: Int = 0

    /** The trial requests that have succeeded. */
    var trialSuccesses: Int = 0

    /** The trial requests that may still be sent before the target returns to use. */
    val missingTrials: Int
        get() = TRIALS - trialSuccesses - trialsInFlight - trialsAssigned

    /** Whether enough trial requests have succeeded. */
    val isPassed: Boolean
        get() = trialSuccesses >= TRIALS

    /** Returns whether trial requests may be sent at [now]. */
    fun isHalfOpen(now: Duration): Boolean = now >= until

    companion object {
        /** Enough that a target that fails half of its requests seldom passes, and few enough to end within a second. */
        const val TRIALS: Int = 3
    }
}
