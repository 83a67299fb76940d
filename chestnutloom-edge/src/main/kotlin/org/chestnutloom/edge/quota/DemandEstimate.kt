package org.chestnutloom.edge.quota

import org.chestnutloom.time.Clock
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds

/** The exponentially weighted request rate of one account at this gateway; confined to the event loop. */
internal class DemandEstimate(
    private val clock: Clock,
) {
    private var estimatePerSecond = 0.0
    private var updatedAt = clock.elapsed()

    /** The current rate, in requests per second. */
    val perSecond: Double
        get() {
            val now = clock.elapsed()
            estimatePerSecond *= exp(-((now - updatedAt) / TIME_CONSTANT))
            updatedAt = now
            return estimatePerSecond
        }

    /** Records a request. */
    fun record() {
        estimatePerSecond = perSecond + 1.seconds / TIME_CONSTANT
    }

    private companion object {
        /** Short enough that tokens are no longer requested in advance a moment after the requests end. */
        private val TIME_CONSTANT = 1.seconds
    }
}
