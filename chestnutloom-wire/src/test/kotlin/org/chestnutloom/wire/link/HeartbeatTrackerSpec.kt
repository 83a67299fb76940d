package org.chestnutloom.wire.link

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.milliseconds

class HeartbeatTrackerSpec :
    DescribeSpec({
        describe("the proof age of a heartbeat") {
            it("includes the time since the hello until the peer echoes a heartbeat") {
                val clock = manualClock()
                val tracker = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                clock.advance(700.milliseconds)
                tracker.received(Frame.HeartbeatFrame(Heartbeat(1, proofAgeMs = 20), echo = 0)).proofAgeMs shouldBe 720
            }

            it("is null when the peer has no proof") {
                val tracker = HeartbeatTracker(manualClock(), helloSentAt = 0.milliseconds)
                tracker.received(Frame.HeartbeatFrame(Heartbeat(1), echo = 0)).proofAgeMs shouldBe null
            }

            it("is never below the true age, whatever the transit time") {
                val steps = Arb.list(Arb.int(0..400), 4..4)
                checkAll(PropTestConfig(seed = 5, iterations = 1000), steps) { (outbound, pause, inbound, proof) ->
                    val clock = manualClock()
                    val local = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                    val remote = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                    val localFrame = local.frameFor(Heartbeat(0))
                    clock.advance(outbound.milliseconds)
                    remote.received(localFrame)
                    clock.advance(pause.milliseconds)
                    val remoteFrame = remote.frameFor(Heartbeat(0, proofAgeMs = proof.toLong()))
                    clock.advance(inbound.milliseconds)
                    val proofAgeMs = local.received(remoteFrame).proofAgeMs ?: -1
                    proofAgeMs shouldBeGreaterThanOrEqual (proof + inbound).toLong()
                    proofAgeMs shouldBe proof + outbound + pause + inbound
                }
            }
        }
    })
