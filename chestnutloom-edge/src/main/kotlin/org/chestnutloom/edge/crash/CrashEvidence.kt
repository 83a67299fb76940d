package org.chestnutloom.edge.crash

import org.chestnutloom.edge.fleet.CrashReport
import kotlin.time.Duration

/**
 * A crash that counts against the requests that were in flight at it, until one of them runs without a crash.
 *
 * @property crashedAt the time of the crash on the monotonic clock of this gateway
 * @property order one more than the number of crashes in a row that the sending gateway knew of when it sent the request.
 *   Crashes with the same order may be one event, such as the loss of several targets at which such requests ran.
 */
internal data class CrashEvidence(
    val fingerprint: RequestFingerprint,
    val crash: String,
    val crashedAt: Duration,
    val order: Int,
    val isCleared: Boolean,
) {
    /** Returns the report of this crash that is sent to other gateways at time [now]. */
    fun toReport(now: Duration): CrashReport =
        CrashReport(fingerprint.value, crash, (now - crashedAt).inWholeMilliseconds, isCleared, order)
}
