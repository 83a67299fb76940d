package org.chestnutloom.edge.crash

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GATEWAYS = 3
private val CRASHING = RequestFingerprint("crashing")
private val COMMON = RequestFingerprint("common")

/** The time after a change in which the gateways of a fleet need not know of it yet. */
private val CONTACT = 3.seconds

/** A request that crashes its targets may run this often later than [CONTACT] after its third crash. */
private const val MAX_LATE_RUNS = 3

/** A turn that no target gets in this number of tries is lost. */
private const val LOST_TRIES = 5

class QuarantineFleetSpec :
    DescribeSpec({
        describe("requests that crash every target, beside a common input that ran where targets crashed together") {
            // Guards against a mend of either rule that breaks the other: crashing requests that are never held, and innocent
            // ones that are refused (review/13).
            for (sendersPerGateway in listOf(1, 3)) {
                it("run a few times in 100 s, and the common input is served, $sendersPerGateway senders a gateway") {
                    runTest {
                        val fleet = QuarantineFleet(this, GATEWAYS)
                        val clock = VirtualClock(this)
                        val runs = ArrayList<Duration>()
                        repeat(GATEWAYS * sendersPerGateway) { sender ->
                            launch {
                                while (clock.elapsed() < 100.seconds) {
                                    val sentAt = clock.elapsed()
                                    if (fleet.sendCrashing(sender % GATEWAYS, CRASHING, 30.milliseconds)) runs += sentAt
                                    delay(300.milliseconds)
                                }
                            }
                        }
                        var refused = 0
                        repeat(8) {
                            fleet.crashEverywhere(COMMON, runTime = 400.milliseconds)
                            delay(4.seconds)
                            if (!fleet.sendSound(it % GATEWAYS, COMMON, 500.milliseconds)) refused++
                            delay(5.seconds)
                        }
                        refused shouldBe 0
                        delay(40.seconds)
                        val third = runs.sorted()[2] + 30.milliseconds
                        runs.count { it > third + CONTACT } shouldBeLessThanOrEqual MAX_LATE_RUNS
                    }
                }
            }

            // Guards against innocent requests that two crashes in a row quarantine, with nobody allowed to show that they run.
            it("serve the common input within the tries of a turn after crashes one after the other") {
                runTest {
                    val fleet = QuarantineFleet(this, GATEWAYS)
                    repeat(2) {
                        fleet.crashEverywhere(COMMON, runTime = 400.milliseconds)
                        delay(2.seconds)
                    }
                    delay(CONTACT)
                    var tries = 0
                    while (!fleet.sendSound(tries % GATEWAYS, COMMON, 500.milliseconds)) {
                        tries++
                        delay(300.milliseconds)
                    }
                    tries shouldBeLessThan LOST_TRIES
                    delay(500.milliseconds)
                    repeat(GATEWAYS) { fleet.sendSound(it, COMMON, 500.milliseconds) shouldBe true }
                }
            }
        }
    })
