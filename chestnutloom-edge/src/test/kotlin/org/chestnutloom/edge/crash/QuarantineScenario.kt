package org.chestnutloom.edge.crash

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.fleet.CrashReport
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal val REQUEST = RequestFingerprint("f")

internal fun runOfTarget(name: String) = TargetRun(name, PeerAddress("127.0.0.1", port = 9))

/**
 * Sends the reports of each of [gateways] to the others for [duration]; each arrives after [transit]. Returns how often a
 * heartbeat showed another latest change than the one before.
 */
internal suspend fun TestScope.exchangeReports(
    gateways: List<RequestQuarantine>,
    transit: Duration,
    duration: Duration,
): Int {
    val latest = gateways.map { latestChange(it.nextReports()) }.toMutableList()
    var changes = 0
    repeat((duration / HEARTBEAT_INTERVAL).toInt()) {
        gateways.forEachIndexed { index, from ->
            val reports = from.nextReports()
            if (latestChange(reports) != latest[index]) changes++
            latest[index] = latestChange(reports)
            backgroundScope.launch {
                delay(transit)
                gateways.filter { it !== from }.forEach { it.merge(reports) }
            }
        }
        delay(HEARTBEAT_INTERVAL)
    }
    return changes
}

/** The last of the most recent changes, with which the reports of a heartbeat begin. */
private fun latestChange(reports: List<CrashReport>): String? =
    reports.take(NEWEST_PER_HEARTBEAT).lastOrNull()?.let { "${it.fingerprint} ${it.crash}" }

private const val NEWEST_PER_HEARTBEAT = 4
private val HEARTBEAT_INTERVAL = 100.milliseconds
internal val RUN_TIME = 200.milliseconds

/** Longer than it takes to find that a target has crashed. */
internal val AFTER_CRASH = 150.milliseconds

internal fun TestScope.quarantine(isDown: Boolean = true): RequestQuarantine {
    val clock = VirtualClock(this)
    val grants = TrialGrants(clock)
    return RequestQuarantine({ isDown }, grants::grant, clock, backgroundScope)
}

/** Sends the request to one of [targets] after the other, and each of them crashes. */
internal suspend fun RequestQuarantine.crash(
    vararg targets: String,
    fingerprint: RequestFingerprint = REQUEST,
) {
    for (target in targets) {
        val crashesBefore = crashesInRow(fingerprint)
        delay(RUN_TIME)
        recordAborted(fingerprint, runOfTarget(target), crashesBefore)
        delay(AFTER_CRASH)
    }
}

/** Sends the request to all [targets] at once, which crash at the same moment. */
internal suspend fun RequestQuarantine.crashTogether(vararg targets: String) {
    val crashesBefore = crashesInRow(REQUEST)
    delay(RUN_TIME)
    targets.forEach { recordAborted(REQUEST, runOfTarget(it), crashesBefore) }
    delay(AFTER_CRASH)
}

/** Returns whether the request is refused; claims a trial if one is due. */
internal suspend fun RequestQuarantine.isQuarantined(): Boolean = admit(REQUEST) != null
