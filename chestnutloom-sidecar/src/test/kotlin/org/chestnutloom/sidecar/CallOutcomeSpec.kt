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
        val lostEvent = TargetEvent.Failed(TargetFailure.Lost("connection reset"))

        describe("a lost reply") {
            it("of a non-idempotent call leaves its outcome unknown, and the call never runs again") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.target.respond(firstCall, lostEvent)
                    sidecar.runCurrent()
                    replies.refusal().execution shouldBe Execution.UNKNOWN
                    sidecar.run(callRequest(idempotent = false, attempt = 2)).refusal() shouldBe replies.refusal()
                    sidecar.target.sent.size shouldBe 1
                }
            }
            it("of an idempotent call allows a higher attempt to run") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.target.respond(firstCall, lostEvent)
                    sidecar.runCurrent()
                    sidecar.run(callRequest(attempt = 2))
                    sidecar.target.sent.size shouldBe 2
                }
            }
            it("is reported as not run if no connection was established") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.target.respond(firstCall, TargetEvent.Failed(TargetFailure.NotSent("refused")))
                    sidecar.runCurrent()
                    replies.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.requestStatus(QueryCall(firstCall, fence = true)).state shouldBe CallState.NOT_RUN
                }
            }
            it("of a stream is resumed at the engine without lost or duplicate chunks") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(stream = true))
                    sidecar.target.respondOnResume(TargetEvent.Chunk("b"), TargetEvent.StreamEnd)
                    sidecar.target.respond(firstCall, TargetEvent.Chunk("a"), lostEvent)
                    testScheduler.advanceTimeBy(5.seconds)
                    replies.filterIsInstance<CallChunk>().map { it.data } shouldContainExactly listOf("a", "b")
                    replies.last().shouldBeInstanceOf<CallEnded>()
                    sidecar.target.resumedFrom shouldContainExactly listOf(1)
                }
            }
        }

        describe("an engine stream that delivers no more data") {
            it("is resumed on a new connection at the next chunk") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(stream = true))
                    sidecar.target.respond(firstCall, TargetEvent.Chunk("a"))
                    testScheduler.advanceTimeBy(4.seconds)
                    sidecar.target.resumedFrom.shouldBeEmpty()
                    sidecar.target.respondOnResume(TargetEvent.Chunk("b"), TargetEvent.StreamEnd)
                    testScheduler.advanceTimeBy(4.seconds)
                    sidecar.target.resumedFrom shouldContainExactly listOf(1)
                    replies.last().shouldBeInstanceOf<CallEnded>().chunks shouldBe 2
                }
            }
        }

        describe("a body that crashes the target") {
            it("runs alone after one crash, and is refused after two") {
                runTest {
                    val sidecar = SidecarFixture(this, maxRunning = 2)

                    fun crash(id: CallId) {
                        sidecar.run(callRequest(id, body = "crashing"))
                        sidecar.target.health = TargetHealth.REFUSED
                        sidecar.target.respond(id, lostEvent)
                        sidecar.runCurrent()
                        sidecar.target.health = TargetHealth.UP
                    }
                    crash(CallId("p1/1"))
                    sidecar.core.probeTarget()
                    sidecar.run(callRequest(secondCall, body = "harmless"))
                    sidecar.run(callRequest(CallId("p1/3"), body = "crashing"))
                    sidecar.target.sent.size shouldBe 2
                    sidecar.target.respond(secondCall, answer)
                    sidecar.runCurrent()
                    crash(CallId("p1/3"))
                    sidecar.core.probeTarget()
                    sidecar.run(callRequest(CallId("p1/4"), body = "crashing")).refusal().code shouldBe
                        RefusalCode.QUARANTINED
                    sidecar.target.sent.size shouldBe 3
                }
            }
        }
    })
