package org.chestnutloom.edge.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.times

/**
 * The reply time of one replica: the smoothed mean and mean deviation of recent samples, as a retransmission timer of a
 * transport protocol has them; confined to the event loop.
 */
internal class ReplyTime {
    private var mean = Duration.ZERO
    private var deviation = Duration.ZERO
    private var hasSamples = false

    /** The time after which a reply is late. */
    val timeout: Duration
        get() = if (hasSamples) (mean + DEVIATIONS * deviation).coerceIn(MIN_TIMEOUT, MAX_TIMEOUT) else MAX_TIMEOUT

    /** Records a reply after [time], or that there was none within [time]. */
    fun record(time: Duration) {
        val sample = time.coerceIn(Duration.ZERO, MAX_TIMEOUT)
        if (!hasSamples) {
            hasSamples = true
            mean = sample
            deviation = sample / 2
            return
        }
        deviation += ((sample - mean).absoluteValue - deviation) * DEVIATION_GAIN
        mean += (sample - mean) * MEAN_GAIN
    }

    private companion object {
        private const val DEVIATIONS = 4
        private const val MEAN_GAIN = 0.125
        private const val DEVIATION_GAIN = 0.25

        /** Longer than usual pauses of a gateway, such as a garbage collection, which would cost a second request. */
        private val MIN_TIMEOUT = 25.milliseconds

        /** Above the usual response time of any replica. */
        private val MAX_TIMEOUT = 150.milliseconds
    }
}
