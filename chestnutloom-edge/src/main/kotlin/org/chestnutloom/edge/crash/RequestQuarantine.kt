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
 * Quarantines requests that crashed several targets and ran without a crash at none; confined to the event loop.
 *
 * An aborted response alone does not indicate a crash. It counts as one only if no process listens on the target's port
 * any more. As every request in flight at that moment is suspected, a suspicion is cleared when a request with the same
 * fingerprint runs to its end, and a quarantine is limited in time: its length doubles with each further crash.
 */
internal class RequestQuarantine(
    private val probe: CrashProbe,
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

    /** Returns how long the request with [fingerprint] must not be sent to any target, or null if it may be sent. */
    fun remainingQuarantine(fingerprint: RequestFingerprint): Duration? {
        val crashes = crashesOf(fingerprint)
        if (crashes.size < QUARANTINE_CRASHES) return null
        val furtherCrashes = (crashes.size - QUARANTINE_CRASHES).coerceAtMost(MAX_DOUBLINGS)
        val endsAt = crashes.maxOf { it.crashedAt } + FIRST_QUARANTINE * (1 shl furtherCrashes)
        return (endsAt - clock.elapsed()).takeIf { it.isPositive() }
    }

    /** Records that [targetRun] aborted the response to the request with [fingerprint]. */
    fun recordAborted(
        fingerprint: RequestFingerprint,
        targetRun: TargetRun,
    ) {
        scope.launch {
            delay(PROBE_DELAY)
            if (!probe.isDown(targetRun)) return@launch
            put(CrashEvidence(fingerprint, targetRun.name, clock.elapsed(), isCleared = false))
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
            val fingerprint = RequestFingerprint(report.fingerprint)
            val crashedAt = now - report.ageMs.milliseconds
            put(CrashEvidence(fingerprint, report.crash, crashedAt, report.isCleared), crashedAt - MAX_TRANSIT)
        }
    }

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
        evidence[key] = received.copy(crashedAt = known?.crashedAt ?: received.crashedAt)
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
            "crashes" to crashesOf(changed.fingerprint).size,
            "quarantine_ms" to (remainingQuarantine(changed.fingerprint)?.inWholeMilliseconds ?: 0),
        )
    }

    private data class EvidenceKey(
        val fingerprint: RequestFingerprint,
        val crash: String,
    )

    private companion object {
        /** The time after which the port of a crashed target is closed. */
        private val PROBE_DELAY = 50.milliseconds

        /** The number of crashes, without a run to the end since, from which a request is quarantined. */
        private const val QUARANTINE_CRASHES = 2
        private val FIRST_QUARANTINE = 30.seconds
        private const val MAX_DOUBLINGS = 3

        /** Longer than the longest quarantine, so that the next crash after it still doubles it. */
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
