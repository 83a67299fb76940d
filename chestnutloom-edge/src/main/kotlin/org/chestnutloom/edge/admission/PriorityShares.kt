package org.chestnutloom.edge.admission

import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Divides the room for new programs among priorities: urgent ones first, a small share for the others. */
internal class PriorityShares(
    private val clock: Clock,
) {
    private val lastRequestedAt = HashMap<Int, Duration>()
    private val credits = HashMap<Int, Double>()

    /** Returns the fraction of the capacity that programs of [priority] may use. */
    fun fractionFor(priority: Int): Double {
        val urgentSince = clock.elapsed() - DEMAND_PERIOD
        val areUrgentExpected = lastRequestedAt.any { (other, at) -> other < priority && at >= urgentSince }
        return if (areUrgentExpected && creditOf(priority) < 1.0) GUARANTEED_FRACTION else 1.0
    }

    /** Records that a program of [priority] asked to start. */
    fun requested(priority: Int) {
        lastRequestedAt[priority] = clock.elapsed()
    }

    /** Records that a program of [priority] started; [hasUsedShare] if only the share of its priority let it. */
    fun started(
        priority: Int,
        hasUsedShare: Boolean,
    ) {
        if (hasUsedShare) credits[priority] = (creditOf(priority) - 1.0).coerceAtLeast(0.0)
        val lessUrgent = lastRequestedAt.keys.filter { it > priority }
        lessUrgent.forEach { credits[it] = (creditOf(it) + SHARE).coerceAtMost(MAX_CREDITS) }
    }

    private fun creditOf(priority: Int): Double = credits[priority] ?: 0.0

    companion object {
        /** The part of the capacity that less urgent programs may use while more urgent ones ask to start. */
        const val GUARANTEED_FRACTION = 0.85

        /** The starts of a less urgent priority for each start of a more urgent one, although room is short. */
        private const val SHARE = 0.1

        /** Limits the burst of less urgent starts after a long period of urgent ones. */
        private const val MAX_CREDITS = 2.0
        private val DEMAND_PERIOD = 1.seconds
    }
}
