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
            it("includes the time since the hello while the peer has heard no heartbeat") {
                val clock = manualClock()
                val tracker = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                clock.advance(700.milliseconds)
                tracker.received(Frame.HeartbeatFrame(Heartbeat(1, proofAgeMs = 20), echo = 0)).proofAgeMs shouldBe 720
            }

            it("stays unknown when the peer has no proof") {
                val tracker = HeartbeatTracker(manualClock(), helloSentAt = 0.milliseconds)
                tracker.received(Frame.HeartbeatFrame(Heartbeat(1), echo = 0)).proofAgeMs shouldBe null
            }

            it("is never below the true age, however long the heartbeat is under way") {
                val steps = Arb.list(Arb.int(0..400), 4..4)
                checkAll(PropTestConfig(seed = 5, iterations = 1000), steps) { (first, held, underWay, proof) ->
                    val clock = manualClock()
                    val here = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                    val there = HeartbeatTracker(clock, helloSentAt = clock.elapsed())
                    val ours = here.frameFor(Heartbeat(0))
                    clock.advance(first.milliseconds)
                    there.received(ours)
                    clock.advance(held.milliseconds)
                    val theirs = there.frameFor(Heartbeat(0, proofAgeMs = proof.toLong()))
                    clock.advance(underWay.milliseconds)
                    val seen = here.received(theirs).proofAgeMs ?: -1
                    seen shouldBeGreaterThanOrEqual (proof + underWay).toLong()
                    seen shouldBe proof + first + held + underWay
                }
            }
        }
    })
