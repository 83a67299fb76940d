package org.chestnutloom.edge.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.fleet.CrashReport
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Quarantines requests that crashed targets in a row and ran without a crash at none; confined to the event loop.
 *
 * An aborted response alone does not indicate a crash. It counts as one only if no process listens on the target's port
 * any more. Every request in flight at that moment is suspected, also with the same input at several targets that crash
 * together. Crashes are therefore in a row only if the request of the later one was sent by a gateway that knew of the one
 * before, which needs no comparison of clocks. A suspicion is cleared when a request with the same fingerprint runs to its
 * end.
 *
 * A quarantine ends with a trial: after a time, which grows with each further crash, one request at a time is sent, and if
 * it runs to its end all others may follow.
 */
internal class RequestQuarantine(
    private val probe: CrashProbe,
    private val trials: SuspectTrials,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** In the order of their last change, the most recent one last. */
    private val evidence = LinkedHashMap<EvidenceKey, CrashEvidence>()
    private var nextOlder = 0

    /** Whether any crash is recorded; without one, no fingerprint has to be computed. */
    val hasCrashes: Boolean
        get() = evidence.isNotEmpty()

    /** Returns reports for the other gateways: the most recent changes, and some of the older reports in turn. */
    fun nextReports(): List<CrashReport> {
        removeExpired()
        val reports = evidence.values.map { it.toReport(clock.elapsed()) }.filter(::isRecent)
        val newest = reports.takeLast(NEWEST_PER_HEARTBEAT)
        val older = reports.dropLast(NEWEST_PER_HEARTBEAT)
        if (older.isEmpty()) return newest
        return newest + List(minOf(OLDER_PER_HEARTBEAT, older.size)) { older[nextOlder++.mod(older.size)] }
    }

    /**
     * Returns after which time the request with [fingerprint] should be sent again, or null if it may be sent to a target
     * now, for a trial at most once.
     */
    suspend fun admit(fingerprint: RequestFingerprint): Duration? {
        val remaining = untilTrial(fingerprint) ?: return null
        if (remaining.isPositive()) return remaining
        return if (trials.claim(fingerprint)) null else TRIAL_RETRY
    }

    /** Returns whether the request with [fingerprint] is sent to targets for trials only. */
    fun isQuarantined(fingerprint: RequestFingerprint): Boolean = untilTrial(fingerprint) != null

    /** Returns the time until a trial of the request with [fingerprint], or null if the request is not quarantined. */
    private fun untilTrial(fingerprint: RequestFingerprint): Duration? {
        val count = crashesInRow(fingerprint)
        if (count < QUARANTINE_CRASHES) return null
        val lastCrashAt = crashesOf(fingerprint).maxOf { it.crashedAt }
        val trialAt = lastCrashAt + trialDelay(failedTrials = count - QUARANTINE_CRASHES)
        return (trialAt - clock.elapsed()).coerceAtLeast(Duration.ZERO)
    }

    private fun trialDelay(failedTrials: Int): Duration {
        if (failedTrials == 0) return FIRST_TRIAL_DELAY
        return NEXT_TRIAL_DELAY * (1 shl (failedTrials - 1).coerceAtMost(MAX_DOUBLINGS))
    }

    /** Returns how many crashes in a row are known of the request with [fingerprint], without a run to its end since. */
    fun crashesInRow(fingerprint: RequestFingerprint): Int {
        val crashes = crashesOf(fingerprint)
        // Some of those that preceded the last one may have been cleared meanwhile.
        return minOf(crashes.size, crashes.maxOfOrNull { it.order } ?: 0)
    }

    /**
     * Records that [targetRun] aborted the response to the request with [fingerprint].
     *
     * @param crashesBefore what [crashesInRow] returned when the request was sent
     */
    fun recordAborted(
        fingerprint: RequestFingerprint,
        targetRun: TargetRun,
        crashesBefore: Int,
    ) {
        val crashedAt = clock.elapsed()
        scope.launch {
            delay(PROBE_DELAY)
            if (!probe.isDown(targetRun)) return@launch
            val order = crashesBefore + 1
            put(CrashEvidence(fingerprint, targetRun.name, crashedAt, order, isCleared = false))
        }
    }

    /** Records that a target ran the request with [fingerprint] to its end, which clears it of earlier crashes. */
    fun recordSurvival(fingerprint: RequestFingerprint) {
        crashesOf(fingerprint).forEach { put(it.copy(isCleared = true)) }
    }

    /** Merges [reports] received from another gateway; ignores those whose age cannot be true or has ended them. */
    fun merge(reports: List<CrashReport>) {
        val now = clock.elapsed()
        reports.filter(::isRecent).forEach { report ->
            val crashedAt = now - report.ageMs.milliseconds
            put(evidenceOf(report, crashedAt), evictsBefore = crashedAt - MAX_TRANSIT)
        }
    }

    private fun evidenceOf(
        report: CrashReport,
        crashedAt: Duration,
    ) = CrashEvidence(
        RequestFingerprint(report.fingerprint),
        report.crash,
        crashedAt,
        report.order.coerceIn(1, MAX_EVIDENCE),
        report.isCleared,
    )

    private fun isRecent(report: CrashReport): Boolean = report.ageMs in 0 until REPORT_PERIOD.inWholeMilliseconds

    private fun crashesOf(fingerprint: RequestFingerprint): List<CrashEvidence> =
        evidence.values.filter { it.fingerprint == fingerprint && !it.isCleared }

    /**
     * Adds or clears evidence; ignores what is known or too old, and at the maximum number what would replace evidence
     * that is not older than [evictsBefore].
     */
    private fun put(
        received: CrashEvidence,
        evictsBefore: Duration = received.crashedAt,
    ) {
        val key = EvidenceKey(received.fingerprint, received.crash)
        val known = evidence[key]
        if (known != null && (known.isCleared || !received.isCleared)) return
        if (clock.elapsed() - received.crashedAt >= RETENTION) return
        if (known == null && evidence.size >= MAX_EVIDENCE && !evictBefore(evictsBefore)) return
        evidence.remove(key)
        evidence[key] = known?.copy(isCleared = received.isCleared) ?: received
        log(received)
    }

    /** Removes the oldest evidence if it is older than [time], and returns whether it was. */
    private fun evictBefore(time: Duration): Boolean {
        val oldest = evidence.entries.minBy { it.value.crashedAt }
        if (oldest.value.crashedAt >= time) return false
        evidence.remove(oldest.key)
        return true
    }

    private fun removeExpired() {
        val now = clock.elapsed()
        evidence.values.removeIf { now - it.crashedAt >= RETENTION }
    }

    private fun log(changed: CrashEvidence) {
        logger.event(
            if (changed.isCleared) "crash_cleared" else "target_crashed",
            "run" to changed.crash,
            "fingerprint" to changed.fingerprint.value,
            "order" to changed.order,
            "crashes" to crashesOf(changed.fingerprint).size,
            "in_a_row" to crashesInRow(changed.fingerprint),
            "quarantine_ms" to (untilTrial(changed.fingerprint)?.inWholeMilliseconds ?: 0),
        )
    }

    private data class EvidenceKey(
        val fingerprint: RequestFingerprint,
        val crash: String,
    )

    private companion object {
        /** The time after which the port of a crashed target is closed. */
        private val PROBE_DELAY = 50.milliseconds

        /** The number of crashes in a row, without a run to the end since, from which a request is quarantined. */
        private const val QUARANTINE_CRASHES = 2

        /** The first trial comes soon, since most requests that were in flight at two crashes have caused neither. */
        private val FIRST_TRIAL_DELAY = 3.seconds

        /** After a trial that crashed its target; doubled after each further one. */
        private val NEXT_TRIAL_DELAY = 60.seconds
        private const val MAX_DOUBLINGS = 2

        /** A trial in progress will often have ended by then. */
        private val TRIAL_RETRY = 1.seconds

        /** Longer than the longest time until a trial, so that a crash in the trial counts on. */
        private val RETENTION = 6.minutes

        /**
         * The maximum time that a report is on its way through all gateways that relay it. The age in a report does not
         * include this time, so that what one gateway has forgotten may seem new to it in the report of another.
         */
        private val MAX_TRANSIT = 1.minutes

        /** Ends before any gateway forgets the crash, so that none learns of it again. */
        private val REPORT_PERIOD = RETENTION - MAX_TRANSIT

        /** Enough for all requests in flight at several targets that crash together. */
        private const val MAX_EVIDENCE = 256
        private const val NEWEST_PER_HEARTBEAT = 4
        private const val OLDER_PER_HEARTBEAT = 2
    }
}
