package org.chestnutloom.edge.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A program that this gateway has started or seen a turn of.
 *
 * @property deadline when the program should be complete, on the monotonic clock, or null if that is not known
 * @property hasStartedHere whether the program's first turn ran at this gateway
 */
internal class TrackedProgram(
    val statistics: RouteStatistics,
    val deadline: Duration?,
    val hasStartedHere: Boolean,
    var lastSeenAt: Duration,
) {
    var completedTurns = 0
    var runningTurns = 0
    var lastEndedAt: Duration? = null

    /** How long the program may be without a turn before it is expected to have ended. */
    private val maxIdle: Duration
        get() = if (completedTurns == 0) RETRY_PERIOD else statistics.pauseLimit

    /** Returns the number of slots that the program is expected to occupy on average from [now] on. */
    fun expectedSlots(now: Duration): Double {
        val isOverdue = deadline != null && now > deadline
        return when {
            runningTurns > 0 -> statistics.concurrency
            // A late program may be abandoned by its caller; it counts while a turn runs.
            isOverdue || now - lastSeenAt > maxIdle -> 0.0
            else -> statistics.concurrency * statistics.continuationAfter(completedTurns)
        }
    }

    private companion object {
        /** Callers retry a failed turn within this time. */
        private val RETRY_PERIOD = 500.milliseconds
    }
}
