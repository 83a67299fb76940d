package org.chestnutloom.edge.target

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides from real answers whether a target should be left alone for a while. */
internal class TargetHealth {
    private var failuresInRow = 0
    private var restUntil = Duration.ZERO

    /** Whether the target should get no requests at [now]. */
    fun isResting(now: Duration): Boolean = now < restUntil

    /** Notes that the target gave a proper answer. */
    fun succeeded() {
        failuresInRow = 0
        restUntil = Duration.ZERO
    }

    /** Notes that the target could not be reached or broke off; it rests longer with each failure in a row. */
    fun failed(now: Duration) {
        val rest = (FIRST_REST * (1 shl failuresInRow.coerceAtMost(MAX_DOUBLINGS))).coerceAtMost(LONGEST_REST)
        failuresInRow++
        restUntil = now + rest
    }

    private companion object {
        private val FIRST_REST = 200.milliseconds
        private val LONGEST_REST = 3.seconds
        private const val MAX_DOUBLINGS = 4
    }
}
