package org.chestnutloom.edge.target

import kotlin.time.Duration

/** Tells whether a target has outlived the end of one of its connections. */
internal fun interface TargetLiveness {
    /**
     * Returns whether this run of [target] shows that it still runs; false if that is not known.
     *
     * @param lastBytesAt when the target last showed on the connection that it ran, on the monotonic clock
     */
    suspend fun isAlive(
        target: Target,
        lastBytesAt: Duration,
    ): Boolean
}
