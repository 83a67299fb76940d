package org.chestnutloom.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.Execution
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.CallId
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetFailure
import org.chestnutloom.sidecar.target.TargetHealth
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.QueryCall
import kotlin.time.Duration.Companion.seconds

class CallOutcomeSpec :
    DescribeSpec({
        val secondCall = CallId("p1/2")
        val lostEvent = TargetEvent.Failed(TargetFailure.Lost("cut"))

        describe("a lost reply") {
            it("of a non-idempotent call is an unknown outcome that never runs again") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.target.play(firstCall, lostEvent)
                    sidecar.settle()
                    replies.refusal().execution shouldBe Execution.UNKNOWN
                    sidecar.run(callRequest(idempotent = false, attempt = 2)).refusal() shouldBe replies.refusal()
                    sidecar.target.sent.size shouldBe 1
                }
            }
            it("of an idempotent call lets a higher attempt run") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.target.play(firstCall, lostEvent)
                    sidecar.settle()
                    sidecar.run(callRequest(attempt = 2))
                    sidecar.target.sent.size shouldBe 2
                }
            }
            it("is not run when no connection came about") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.target.play(firstCall, TargetEvent.Failed(TargetFailure.NotSent("refused")))
                    sidecar.settle()
                    replies.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.ask(QueryCall(firstCall, fence = true)).state shouldBe CallState.NOT_RUN
                }
            }
            it("of a stream is resumed at the engine without loss or repetition") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(stream = true))
                    sidecar.target.playOnResume(TargetEvent.Chunk("b"), TargetEvent.StreamEnd)
                    sidecar.target.play(firstCall, TargetEvent.Chunk("a"), lostEvent)
                    testScheduler.advanceTimeBy(5.seconds)
                    replies.filterIsInstance<CallChunk>().map { it.data } shouldContainExactly listOf("a", "b")
                    replies.last().shouldBeInstanceOf<CallEnded>()
                    sidecar.target.resumedFrom shouldContainExactly listOf(1)
                }
            }
        }

        describe("an engine stream that goes silent") {
            it("is taken up on a new connection where it stopped") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(stream = true))
                    sidecar.target.play(firstCall, TargetEvent.Chunk("a"))
                    testScheduler.advanceTimeBy(4.seconds)
                    sidecar.target.resumedFrom.shouldBeEmpty()
                    sidecar.target.playOnResume(TargetEvent.Chunk("b"), TargetEvent.StreamEnd)
                    testScheduler.advanceTimeBy(4.seconds)
                    sidecar.target.resumedFrom shouldContainExactly listOf(1)
                    replies.last().shouldBeInstanceOf<CallEnded>().chunks shouldBe 2
                }
            }
        }

        describe("a body that crashes the target") {
            it("runs alone after one crash, and not at all after two") {
                runTest {
                    val sidecar = SidecarFixture(this, maxRunning = 2)

                    fun crash(id: CallId) {
                        sidecar.run(callRequest(id, body = "deadly"))
                        sidecar.target.health = TargetHealth.REFUSED
                        sidecar.target.play(id, lostEvent)
                        sidecar.settle()
                        sidecar.target.health = TargetHealth.UP
                    }
                    crash(CallId("p1/1"))
                    sidecar.core.probeTarget()
                    sidecar.run(callRequest(secondCall, body = "harmless"))
                    sidecar.run(callRequest(CallId("p1/3"), body = "deadly"))
                    sidecar.target.sent.size shouldBe 2
                    sidecar.target.play(secondCall, answer)
                    sidecar.settle()
                    crash(CallId("p1/3"))
                    sidecar.core.probeTarget()
                    sidecar.run(callRequest(CallId("p1/4"), body = "deadly")).refusal().code shouldBe
                        RefusalCode.QUARANTINED
                    sidecar.target.sent.size shouldBe 3
                }
            }
        }
    })
