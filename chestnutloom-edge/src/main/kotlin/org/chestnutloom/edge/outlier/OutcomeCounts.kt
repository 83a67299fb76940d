package org.chestnutloom.edge.outlier

/** Attempts and the failed ones among them. */
internal data class OutcomeCounts(
    val attempts: Int,
    val failures: Int,
) {
    /** The share of failures, 0 without attempts. */
    val failureShare: Double
        get() = if (attempts == 0) 0.0 else failures.toDouble() / attempts

    /** The share of failures in percent, for log lines. */
    val failurePercent: Int
        get() = (failureShare * PERCENT).toInt()

    operator fun plus(other: OutcomeCounts): OutcomeCounts =
        OutcomeCounts(attempts + other.attempts, failures + other.failures)

    companion object {
        private const val PERCENT = 100
        val NONE: OutcomeCounts = OutcomeCounts(attempts = 0, failures = 0)
    }
}
