package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.fleet.TargetFailures

/**
 * What this gateway and others have seen of a target in the window.
 *
 * @property own the outcomes at this gateway
 * @property peers the capped outcomes at the other gateways that report failures
 * @property reporters the number of those gateways
 */
internal data class FailureEvidence(
    val own: OutcomeCounts,
    val peers: OutcomeCounts,
    val reporters: Int,
) {
    /** All outcomes together. */
    val total: OutcomeCounts
        get() = own + peers

    /** Whether the share of failures calls for an ejection, with at least [minFailures]. */
    fun isOutlier(minFailures: Int): Boolean = isOwnOutlier(minFailures) || isFleetOutlier(minFailures)

    private fun isOwnOutlier(minFailures: Int) = own.failures >= minFailures && own.failureShare >= MAX_FAILURE_SHARE

    /** Successes seen here outweigh the reports of others, whose own link to the target may be broken. */
    private fun isFleetOutlier(minFailures: Int): Boolean {
        if (own.attempts >= MIN_OWN_ATTEMPTS && own.failureShare < MAX_FAILURE_SHARE) return false
        val witnesses = reporters + if (own.failures > 0) 1 else 0
        return witnesses > 1 && total.failures >= minFailures && total.failureShare >= MAX_FAILURE_SHARE
    }

    companion object {
        /** A turn is sent up to three times; with fewer failures than this, nearly all callers still get a response. */
        private const val MAX_FAILURE_SHARE = 0.25

        /** The number of own attempts from which their share of failures is meaningful; equals the number of trials. */
        private const val MIN_OWN_ATTEMPTS = Ejection.TRIALS

        /** Below the number of failures that ejects a target, so that one gateway alone cannot eject it for all. */
        private const val MAX_FAILURES_PER_REPORTER = 2

        /** Returns the evidence of [own] outcomes and [reports] of other gateways. */
        fun of(
            own: OutcomeCounts,
            reports: List<TargetFailures>,
        ): FailureEvidence =
            FailureEvidence(own, reports.fold(OutcomeCounts.NONE) { sum, it -> sum + capped(it) }, reports.size)

        /** Reduces a report to at most [MAX_FAILURES_PER_REPORTER] failures with the same share. */
        private fun capped(report: TargetFailures): OutcomeCounts {
            val failures = report.failures.coerceAtMost(MAX_FAILURES_PER_REPORTER)
            return OutcomeCounts((report.attempts.toLong() * failures / report.failures).toInt(), failures)
        }
    }
}
