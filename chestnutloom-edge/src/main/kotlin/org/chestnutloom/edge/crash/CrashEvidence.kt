package org.chestnutloom.edge.crash

import org.chestnutloom.edge.fleet.CrashReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A crash that counts against the requests that were in flight at it, until one of them runs without a crash.
 *
 * @property crashedAt the time of the crash on the monotonic clock of this gateway
 * @property ranFor how long the request had run at the target
 * @property isReported whether another gateway observed the crash, so that [crashedAt] is late by the time of the report
 */
internal data class CrashEvidence(
    val fingerprint: RequestFingerprint,
    val crash: String,
    val crashedAt: Duration,
    val ranFor: Duration,
    val isCleared: Boolean,
    val isReported: Boolean,
) {
    /** Returns the report of this crash that is sent to other gateways at time [now]. */
    fun toReport(now: Duration): CrashReport =
        CrashReport(
            fingerprint.value,
            crash,
            (now - crashedAt).inWholeMilliseconds,
            isCleared,
            ranFor.inWholeMilliseconds,
        )

    /** Whether the request was sent to its target after the crash of [earlier], so that the two were not one event. */
    fun isSentAfter(earlier: CrashEvidence): Boolean {
        val delay = if (isReported || earlier.isReported) MAX_DETECTION_TIME + MAX_REPORT_TIME else MAX_DETECTION_TIME
        return crashedAt - ranFor > earlier.crashedAt + delay
    }

    private companion object {
        /** How long after a crash a gateway may still send requests to the target or get parts of its responses. */
        private val MAX_DETECTION_TIME = 100.milliseconds

        /** How long a report takes to reach the other gateways of a fleet, apart from the largest ones. */
        private val MAX_REPORT_TIME = 500.milliseconds
    }
}

/**
 * Returns how many of [crashes] of one request happened one after the other: each time the request had been sent after the
 * crash before. Targets that crash together, or while the request runs at several of them, count once.
 */
internal fun countConsecutive(crashes: List<CrashEvidence>): Int {
    var count = 0
    var last: CrashEvidence? = null
    for (crash in crashes.sortedBy { it.crashedAt }) {
        if (last != null && !crash.isSentAfter(last)) continue
        last = crash
        count++
    }
    return count
}
