package org.chestnutloom.edge.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.fleet.CrashMark
import org.chestnutloom.quarantine.CrashHistory
import org.chestnutloom.quarantine.CrashVerdict
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Quarantines requests that crashed more than one target; confined to the event loop.
 *
 * An aborted response alone does not indicate a crash. It is recorded as one, against every request that was aborted
 * there, only if no process listens on the target's port any more.
 */
internal class RequestQuarantine(
    private val probe: CrashProbe,
    private val scope: CoroutineScope,
) {
    private var history = CrashHistory.empty()
    private val recent = ArrayDeque<CrashMark>()

    /** The most recent crashes, to be sent to the other gateways. */
    val marks: List<CrashMark>
        get() = recent.toList()

    /** Whether any crash is recorded; without one, no fingerprint has to be computed. */
    val hasCrashes: Boolean
        get() = recent.isNotEmpty()

    /** Returns whether the request with [fingerprint] must not be sent to any target. */
    fun isQuarantined(fingerprint: RequestFingerprint): Boolean =
        history.verdictOf(fingerprint.value) == CrashVerdict.QUARANTINED

    /** Records that [targetRun] aborted the response to the request with [fingerprint]. */
    fun recordAborted(
        fingerprint: RequestFingerprint,
        targetRun: TargetRun,
    ) {
        scope.launch {
            delay(PROBE_DELAY)
            if (probe.isDown(targetRun)) record(CrashMark(fingerprint.value, targetRun.name))
        }
    }

    /** Merges [marks] received from another gateway. */
    fun merge(marks: List<CrashMark>) {
        marks.filterNot { it in recent }.forEach(::record)
    }

    private fun record(mark: CrashMark) {
        history = history.recordCrash(listOf(mark.fingerprint), mark.crash)
        recent.addLast(mark)
        if (recent.size > MAX_MARKS) recent.removeFirst()
        val verdict = history.verdictOf(mark.fingerprint)
        logger.event("target_crashed", "run" to mark.crash, "fingerprint" to mark.fingerprint, "verdict" to verdict)
    }

    private companion object {
        /** By then, a crashed target has closed its port. */
        private val PROBE_DELAY = 50.milliseconds

        /** As many as fit into one heartbeat datagram. */
        private const val MAX_MARKS = 24
    }
}
