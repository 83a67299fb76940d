package org.chestnutloom.edge.crash

import org.chestnutloom.edge.fleet.CrashReport
import kotlin.time.Duration

/**
 * A crash that counts against the requests that were in flight at it, until one of them runs without a crash.
 *
 * @property crashedAt the time of the crash on the monotonic clock of this gateway
 */
internal data class CrashEvidence(
    val fingerprint: RequestFingerprint,
    val crash: String,
    val crashedAt: Duration,
    val isCleared: Boolean,
) {
    /** Returns the report of this crash that is sent to other gateways at time [now]. */
    fun toReport(now: Duration): CrashReport =
        CrashReport(fingerprint.value, crash, (now - crashedAt).inWholeMilliseconds, isCleared)
}
