package org.chestnutloom.edge.target

import kotlin.time.Duration

/**
 * What an exchange with a target shows about the run of the target that serves it.
 *
 * Bytes that arrive do not show when they were sent: behind a cut, a run may have ended and another one begun before they
 * arrive. A response shows that its run was there after the request had been sent.
 */
internal interface RunEvidence {
    /** A time at which the run was running, on the monotonic clock; the latest one that is known. */
    val runningAt: Duration

    /** Asks the run for another sign of life on a connection that it accepted, if there is one. */
    fun ask()

    /** Whether there is a connection that the run accepted, and it has not failed. */
    val isConfirmed: Boolean
}
