package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import kotlin.time.Duration

/** Summary statistics of a latency distribution. */
@Serializable
internal data class LatencySummary(
    val count: Long,
    val meanMs: Double,
    val p50Ms: Long,
    val p95Ms: Long,
    val p99Ms: Long,
    val maxMs: Long,
) {
    companion object {
        private const val SIGNIFICANT_DIGITS = 3
        private const val MEDIAN = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        fun of(latencies: Iterable<Duration>): LatencySummary {
            val histogram = Histogram(SIGNIFICANT_DIGITS)
            latencies.forEach { histogram.recordValue(it.inWholeMilliseconds.coerceAtLeast(0)) }
            return LatencySummary(
                count = histogram.totalCount,
                meanMs = if (histogram.totalCount == 0L) 0.0 else histogram.mean,
                p50Ms = histogram.getValueAtPercentile(MEDIAN),
                p95Ms = histogram.getValueAtPercentile(P95),
                p99Ms = histogram.getValueAtPercentile(P99),
                maxMs = histogram.maxValue,
            )
        }
    }
}
