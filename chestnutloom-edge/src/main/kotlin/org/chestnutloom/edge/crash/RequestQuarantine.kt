package org.chestnutloom.edge.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.fleet.CrashMark
import org.chestnutloom.quarantine.CrashLedger
import org.chestnutloom.quarantine.CrashVerdict
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps requests away from targets that crashed more than one of them; used on the event loop only.
 *
 * A broken answer alone says little. Only when nobody listens at the target any more does it count as a crash, against
 * every request that broke off there.
 */
internal class RequestQuarantine(
    private val probe: CrashProbe,
    private val scope: CoroutineScope,
) {
    private var ledger = CrashLedger.empty()
    private val newest = ArrayDeque<CrashMark>()

    /** The newest crashes, for the other gateways. */
    val marks: List<CrashMark>
        get() = newest.toList()

    /** Whether any crash is known, without which no fingerprint has to be taken. */
    val hasMarks: Boolean
        get() = newest.isNotEmpty()

    /** Whether the request called [fingerprint] may not be sent to any target. */
    fun isQuarantined(fingerprint: RequestFingerprint): Boolean =
        ledger.verdictOf(fingerprint.value) == CrashVerdict.QUARANTINED

    /** Takes note that the answer to the request called [fingerprint] broke off at the run of a target [targetRun]. */
    fun brokeOff(
        fingerprint: RequestFingerprint,
        targetRun: TargetRun,
    ) {
        scope.launch {
            delay(PROBE_DELAY)
            if (probe.isDown(targetRun)) record(CrashMark(fingerprint.value, targetRun.name))
        }
    }

    /** Takes over [marks] that another gateway knows. */
    fun learn(marks: List<CrashMark>) {
        marks.filterNot { it in newest }.forEach(::record)
    }

    private fun record(mark: CrashMark) {
        ledger = ledger.recordCrash(listOf(mark.fingerprint), mark.crash)
        newest.addLast(mark)
        if (newest.size > MAX_MARKS) newest.removeFirst()
        val verdict = ledger.verdictOf(mark.fingerprint)
        logger.event("target_crashed", "run" to mark.crash, "fingerprint" to mark.fingerprint, "verdict" to verdict)
    }

    private companion object {
        /** A target that crashed has closed its port by then. */
        private val PROBE_DELAY = 50.milliseconds

        /** As many as a beat can carry. */
        private const val MAX_MARKS = 24
    }
}
