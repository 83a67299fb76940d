package org.chestnutloom.edge.crash

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestQuarantineSpec :
    DescribeSpec({
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
                    val quarantine = quarantine(isDown = false)
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

            // Guards against a common input that was refused for 30 s after targets had crashed at one moment (review/13).
            it("is not quarantined if it ran at several targets that crashed at the same moment") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crashTogether("e1", "e2", "e3")
                    quarantine.isQuarantined() shouldBe false
                    quarantine.crash("e4")
                    quarantine.isQuarantined() shouldBe true
                }
            }

            // Guards against crashes that count separately since each gateway observes only some of them.
            it("is not quarantined if it ran at targets of several gateways that crashed at the same moment") {
                runTest {
                    val gateways = List(3) { quarantine() }
                    delay(RUN_TIME)
                    gateways.forEachIndexed {
                        index,
                        it,
                        ->
                        it.recordAborted(REQUEST, runOfTarget("e$index"), crashesBefore = 0)
                    }
                    delay(AFTER_CRASH)
                    exchangeReports(gateways, transit = 300.milliseconds, duration = 1.seconds)
                    gateways.forEach { it.isQuarantined() shouldBe false }
                }
            }

            // Guards against a quarantine that nobody may test, so that an innocent request is refused for its whole length.
            it(
                "gets one trial 3 s after the second crash, one 60 s after the third, and then waits twice as long each time",
            ) {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1", "e2")
                    for ((number, wait) in listOf(3.seconds, 60.seconds, 120.seconds).withIndex()) {
                        delay(wait - 1.seconds)
                        quarantine.isQuarantined() shouldBe true
                        delay(1.seconds)
                        quarantine.isQuarantined() shouldBe false
                        quarantine.isQuarantined() shouldBe true
                        quarantine.crash("e${number + 3}")
                    }
                }
            }

            it("is served again after a trial that ran to its end") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1", "e2")
                    delay(3.seconds)
                    quarantine.isQuarantined() shouldBe false
                    quarantine.isQuarantined() shouldBe true
                    quarantine.recordSurvival(REQUEST)
                    repeat(10) { quarantine.isQuarantined() shouldBe false }
                }
            }

            it("gets another trial if the first one did not end") {
                runTest {
                    val quarantine = quarantine()
                    quarantine.crash("e1", "e2")
                    delay(3.seconds)
                    quarantine.isQuarantined() shouldBe false
                    delay(2.seconds)
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
    })
