package org.chestnutloom.edge.crash

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.fleet.CrashReport
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashReportsSpec :
    DescribeSpec({
        describe("reports between gateways") {
            it("quarantine a request that crashed targets of different gateways") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways[0].crash("e0")
                    gateways[1].merge(gateways[0].nextReports())
                    gateways[1].crash("e1")
                    gateways[0].merge(gateways[1].nextReports())
                    gateways.forEach { it.isQuarantined() shouldBe true }
                }
            }

            // Guards against a quarantine after one crash, as the one before was cleared only after the request had been sent.
            it("do not count a crash that was cleared after the request of the next one had been sent") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways[0].crash("e0")
                    gateways[1].merge(gateways[0].nextReports())
                    gateways[0].recordSurvival(REQUEST)
                    gateways[1].crash("e1")
                    gateways[1].isQuarantined() shouldBe true
                    gateways[1].merge(gateways[0].nextReports())
                    gateways[0].merge(gateways[1].nextReports())
                    gateways.forEach { it.isQuarantined() shouldBe false }
                }
            }

            // Guards against a report that is out of range and quarantines a request for long.
            it("are limited in their order") {
                runTest {
                    val gateway = quarantine()
                    listOf(Int.MIN_VALUE, Int.MAX_VALUE).forEachIndexed { index, order ->
                        gateway.merge(listOf(CrashReport(REQUEST.value, "e$index", 0, isCleared = false, order)))
                    }
                    gateway.crashesInRow(REQUEST) shouldBe 2
                    gateway.recordSurvival(REQUEST)
                    gateway.crashesInRow(REQUEST) shouldBe 0
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

            it("keep the time of the crash, so that a trial is due at the same time everywhere") {
                runTest {
                    val gateways = List(2) { quarantine() }
                    gateways[0].crash("e1", "e2")
                    delay(2.seconds)
                    gateways[1].merge(gateways[0].nextReports())
                    gateways[1].admit(REQUEST).shouldNotBeNull()
                    delay(1.seconds)
                    gateways[1].admit(REQUEST).shouldBeNull()
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
                        repeat(256) {
                            gateway.recordAborted(
                                RequestFingerprint("$index-$it"),
                                runOfTarget("e$index"),
                                crashesBefore = 0,
                            )
                        }
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
