package org.chestnutloom.edge.crash

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.fleet.CrashReport
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val REQUEST = RequestFingerprint("f")

private fun runOfTarget(name: String) = TargetRun(name, PeerAddress("127.0.0.1", port = 9))

/**
 * Sends the reports of each of [gateways] to the others for [duration]; each arrives after [transit]. Returns how often a
 * heartbeat showed another latest change than the one before.
 */
private suspend fun TestScope.exchangeReports(
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

class RequestQuarantineSpec :
    DescribeSpec({
        fun TestScope.quarantine() = RequestQuarantine({ true }, VirtualClock(this), backgroundScope)

        suspend fun RequestQuarantine.crash(
            vararg targets: String,
            fingerprint: RequestFingerprint = REQUEST,
        ) {
            targets.forEach { recordAborted(fingerprint, runOfTarget(it)) }
            delay(100.milliseconds)
        }

        fun RequestQuarantine.isQuarantined(): Boolean = remainingQuarantine(REQUEST) != null

        describe("a request in flight at crashes of targets") {
            it("is quarantined after the second crash, also if several responses report the same one") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1", "e1")
                    quarantine.isQuarantined() shouldBe false
                    quarantine.crash("e2")
                    quarantine.isQuarantined() shouldBe true
                }
            }

            it("is not suspected if the target still listens") {
                runTest {
                    val quarantine = RequestQuarantine({ false }, VirtualClock(this), backgroundScope)
                    quarantine.crash("e1", "e2")
                    quarantine.hasCrashes shouldBe false
                }
            }

            // Guards against innocent requests that were refused forever after two crashes that others had caused.
            it("is cleared when a request with its fingerprint runs to its end between or after the crashes") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1")
                    quarantine.recordSurvival(REQUEST)
                    quarantine.crash("e2")
                    quarantine.isQuarantined() shouldBe false
                    quarantine.crash("e3")
                    quarantine.isQuarantined() shouldBe true
                    quarantine.recordSurvival(REQUEST)
                    quarantine.isQuarantined() shouldBe false
                }
            }

            it("is quarantined for a limited time, which doubles with each further crash") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1", "e2")
                    delay(29.seconds)
                    quarantine.isQuarantined() shouldBe true
                    delay(1.seconds)
                    quarantine.isQuarantined() shouldBe false
                    quarantine.crash("e3")
                    delay(59.seconds)
                    quarantine.isQuarantined() shouldBe true
                    delay(1.seconds)
                    quarantine.isQuarantined() shouldBe false
                }
            }

            it("crashes four targets in two minutes, only one of them after the third crash, if it crashes each one") {
                runTest {
                    val quarantine = quarantine()
                    var crashes = 0
                    repeat(1_200) {
                        if (!quarantine.isQuarantined()) quarantine.crash("e${crashes++}") else delay(100.milliseconds)
                    }
                    crashes shouldBe 4
                }
            }
        }

        describe("reports between gateways") {
            it("quarantine a request that crashed targets of different gateways") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways.forEachIndexed { index, gateway -> gateway.crash("e$index") }
                    gateways[0].merge(gateways[1].nextReports())
                    gateways[0].isQuarantined() shouldBe true
                }
            }

            it("clear a request that ran to its end at another gateway, and older reports do not suspect it again") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways[0].crash("e1", "e2")
                    val reports = gateways[0].nextReports()
                    gateways[1].merge(reports)
                    gateways[1].recordSurvival(REQUEST)
                    gateways[0].merge(gateways[1].nextReports())
                    gateways[0].isQuarantined() shouldBe false
                    listOf(gateways[0], gateways[1]).forEach { it.merge(reports) }
                    gateways.map { it.isQuarantined() } shouldBe listOf(false, false)
                }
            }

            it("keep the time of the crash, so that a quarantine ends at the same time everywhere") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways[0].crash("e1", "e2")
                    delay(20.seconds)
                    gateways[1].merge(gateways[0].nextReports())
                    gateways[1].remainingQuarantine(REQUEST).shouldNotBeNull()
                    delay(10.seconds)
                    gateways[1].remainingQuarantine(REQUEST).shouldBeNull()
                }
            }

            // Guards against a malformed datagram whose report never ends and quarantines a request forever.
            it("are ignored if their age is negative or beyond the longest one") {
                runTest {
                    val gateway = quarantine()
                    listOf(Long.MIN_VALUE, -1, 360_000, Long.MAX_VALUE).forEach { ageMs ->
                        gateway.merge(List(2) { CrashReport(REQUEST.value, "e$it", ageMs, isCleared = false) })
                    }
                    gateway.hasCrashes shouldBe false
                }
            }

            // Guards against reports that gateways took over again from each other after they had ended, without end.
            for (transit in listOf(150.milliseconds, 20.seconds)) {
                it("end, though their age does not include the $transit that they are on their way") {
                    runTest {
                        val gateways = List(3) { quarantine() }
                        gateways.first().crash("e1", "e2")
                        exchangeReports(gateways, transit, 1.minutes)
                        gateways.forEach { it.isQuarantined() shouldBe false }
                        gateways.forEach { it.nextReports().shouldNotBeEmpty() }
                        exchangeReports(gateways, transit, 30.minutes)
                        gateways.forEach { it.nextReports().shouldBeEmpty() }
                        gateways.forEach { it.hasCrashes shouldBe false }
                    }
                }
            }

            // Guards against full gateways that replaced the reports of one crash by each other, with a log line each.
            it("do not displace others of the same time if there are more than are kept") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways.forEachIndexed { index, gateway ->
                        repeat(256) { gateway.recordAborted(RequestFingerprint("$index-$it"), runOfTarget("e$index")) }
                    }
                    delay(100.milliseconds)
                    exchangeReports(gateways, 20.milliseconds, 1.minutes)
                    exchangeReports(gateways, 20.milliseconds, 1.minutes) shouldBe 0
                }
            }

            // Guards against reports that circulate without end, with a log line each.
            it("end, however many there are") {
                runTest {
                    val gateways = List(3) { quarantine() }
                    repeat(600) { gateways[it % 3].crash("e$it", fingerprint = RequestFingerprint("f$it")) }
                    gateways.forEach { it.nextReports().shouldNotBeEmpty() }
                    repeat(4_000) {
                        delay(100.milliseconds)
                        gateways.forEach { from ->
                            val reports = from.nextReports()
                            gateways.filter { it !== from }.forEach { it.merge(reports) }
                        }
                    }
                    delay(1.minutes)
                    gateways.forEach { it.nextReports().shouldBeEmpty() }
                    gateways.forEach { it.hasCrashes shouldBe false }
                }
            }
        }
    })
