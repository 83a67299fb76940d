package org.chestnutloom.edge.target

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import java.util.Locale
import kotlin.math.abs
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** How far the expected times of a [route]'s requests were off, over the last [WINDOW] of them. */
internal class PredictionErrors(
    private val route: String,
    private val clock: Clock,
) {
    private val errors = ArrayDeque<Double>()
    private var loggedAt = clock.elapsed()

    /** The number of requests since the errors were last logged. */
    private var samples = 0

    /** Records a request that took [actualMs] instead of [expectedMs]. */
    fun record(
        expectedMs: Double,
        actualMs: Double,
    ) {
        if (actualMs <= 0) return
        errors.addLast(abs(expectedMs - actualMs) / actualMs)
        if (errors.size > WINDOW) errors.removeFirst()
        samples++
        log()
    }

    /** Returns the [quantile] of the errors, as a fraction of the actual times; 0 without any. */
    fun quantile(quantile: Double): Double {
        if (errors.isEmpty()) return 0.0
        return errors.sorted()[(errors.size * quantile).toInt().coerceAtMost(errors.size - 1)]
    }

    private fun log() {
        val now = clock.elapsed()
        if (now - loggedAt < LOG_INTERVAL) return
        logger.event(
            "cost_prediction",
            "route" to route,
            "samples" to samples,
            "p50" to format(quantile(MEDIAN)),
            "p90" to format(quantile(HIGH)),
        )
        loggedAt = now
        samples = 0
    }

    private fun format(value: Double) = "%.3f".format(Locale.ROOT, value)

    companion object {
        const val MEDIAN: Double = 0.5
        const val HIGH: Double = 0.9
        private const val WINDOW = 256
        private val LOG_INTERVAL = 10.seconds
    }
}
