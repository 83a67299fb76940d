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
import org.chestnutloom.id.KeyId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetFailure
import org.chestnutloom.sidecar.target.TargetHealth
import org.chestnutloom.wire.message.ApplyTargetSettings
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.CancelCall
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.ForgetCalls
import org.chestnutloom.wire.message.LoadReport
import org.chestnutloom.wire.message.OrderFenced
import org.chestnutloom.wire.message.OrderTarget
import org.chestnutloom.wire.message.QueryCall
import org.chestnutloom.wire.message.RunCall
import org.chestnutloom.wire.message.TargetOrderKind
import org.chestnutloom.wire.message.WatchLoad
import kotlin.time.Duration.Companion.seconds

class SidecarHandlerSpec :
    DescribeSpec({
        val secondCall = CallId("p1/2")
        val lostEvent = TargetEvent.Failed(TargetFailure.Lost("cut"))

        fun withdraw(key: String) = ApplyTargetSettings(1, 1, "", listOf(KeyId(key)))

        describe("a call") {
            it("runs once, and a repeat from another gateway gets the same answer") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val first = sidecar.run(callRequest(idempotent = false))
                    val repeat = sidecar.run(callRequest(idempotent = false), gatewayB)
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    first.last().shouldBeInstanceOf<CallEnded>().body shouldBe answer.body
                    repeat.last() shouldBe first.last()
                    sidecar.run(callRequest(idempotent = false, attempt = 2)).last() shouldBe first.last()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("runs twice when duplicates are not suppressed") {
                runTest {
                    val sidecar = SidecarFixture(this, 2, Mechanism.DUPLICATE_SUPPRESSION)
                    sidecar.run(callRequest(idempotent = false))
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    sidecar.run(callRequest(idempotent = false))
                    sidecar.target.sent.size shouldBe 2
                }
            }
            it("goes on when its link drops, and is continued from the next chunk") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val stream = sidecar.open(RunCall(callRequest(stream = true)))
                    sidecar.target.play(firstCall, TargetEvent.Chunk("a"), TargetEvent.Chunk("b"))
                    sidecar.settle()
                    stream.drop()
                    sidecar.target.play(firstCall, TargetEvent.Chunk("c"), TargetEvent.StreamEnd)
                    val rest = sidecar.send(AttachCall(firstCall, fromChunk = 2), gatewayB)
                    rest.filterIsInstance<CallChunk>() shouldContainExactly listOf(CallChunk(2, "c"))
                    rest.last().shouldBeInstanceOf<CallEnded>().chunks shouldBe 3
                }
            }
            it("is answered as forgotten after its answer became durable, and does not run again") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    sidecar.send(ForgetCalls(listOf(firstCall)))
                    sidecar.run(callRequest(attempt = 2)).refusal().execution shouldBe Execution.RAN
                    sidecar.target.sent.size shouldBe 1
                }
            }
            it("is refused under an owner epoch lower than one seen") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(ownerEpoch = 5))
                    val late = sidecar.run(callRequest(secondCall, ownerEpoch = 4))
                    late.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("that ran is not called not run by a refusal to an earlier owner") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(ownerEpoch = 4))
                    sidecar.run(callRequest(secondCall, ownerEpoch = 5))
                    sidecar.run(callRequest(ownerEpoch = 4)).refusal().execution shouldBe Execution.UNKNOWN
                }
            }
            it("is never answered with another body's answer") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.run(callRequest(body = "other")).refusal().code shouldBe RefusalCode.TURN_MISMATCH
                }
            }
        }

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

        describe("a question about a call") {
            it("makes not run true for calls that come later") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.ask(QueryCall(firstCall, fence = false)).state shouldBe CallState.NOT_RUN
                    sidecar.run(callRequest()).refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.sent.shouldBeEmpty()
                }
            }
            it("without the fence reports not run and runs it all the same") {
                runTest {
                    val sidecar = SidecarFixture(this, 1, Mechanism.NOT_RUN_FENCE)
                    sidecar.ask(QueryCall(firstCall, fence = true)).state shouldBe CallState.NOT_RUN
                    sidecar.run(callRequest())
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("takes a queued call out when it is to fence") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall))
                    sidecar.ask(QueryCall(secondCall, fence = true)).state shouldBe CallState.NOT_RUN
                    sidecar.settle()
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
        }

        describe("a cancellation") {
            it("stops an idempotent call at the target") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest())
                    sidecar.ask(CancelCall(firstCall)).state shouldBe CallState.RUNNING
                    sidecar.settle()
                    replies.refusal().code shouldBe RefusalCode.CANCELLED
                    sidecar.target.cancelled shouldContainExactly listOf(firstCall)
                }
            }
            it("lets a running non-idempotent call end") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.ask(CancelCall(firstCall))
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    replies.last().shouldBeInstanceOf<CallEnded>()
                }
            }
        }

        describe("a queued call") {
            it("does not start when its key was withdrawn meanwhile") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(key = "key-2"))
                    val queued = sidecar.run(callRequest(secondCall))
                    sidecar.send(withdraw("key-1"))
                    queued.refusal().code shouldBe RefusalCode.UNAUTHORIZED
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                }
            }
            it("does not start when its gateway's proof grew old, unless another gateway took it over") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val orphan = sidecar.run(callRequest(secondCall))
                    val adopted = sidecar.run(callRequest(CallId("p1/3")))
                    sidecar.clock.advance(5.seconds)
                    sidecar.beat(gatewayB)
                    sidecar.run(callRequest(CallId("p1/3")), gatewayB)
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    orphan.refusal().code shouldBe RefusalCode.GATEWAY_STALE
                    sidecar.target.play(CallId("p1/3"), answer)
                    sidecar.settle()
                    adopted.last().shouldBeInstanceOf<CallEnded>()
                    sidecar.target.sent shouldContainExactly listOf(firstCall, CallId("p1/3"))
                }
            }
            it("is refused as not run when it waited too long") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall, queueTimeoutMs = 1_000))
                    sidecar.clock.advance(1.seconds)
                    sidecar.core.calls.expireQueue()
                    sidecar.settle()
                    queued.refusal().code shouldBe RefusalCode.OVERLOADED
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                }
            }
        }

        describe("a withdrawn key") {
            it("stops running calls but not a non-idempotent one") {
                runTest {
                    val sidecar = SidecarFixture(this, maxRunning = 2)
                    val idempotent = sidecar.run(callRequest())
                    val effect = sidecar.run(callRequest(secondCall, idempotent = false))
                    sidecar.send(withdraw("key-1"))
                    idempotent.refusal().code shouldBe RefusalCode.UNAUTHORIZED
                    sidecar.target.play(secondCall, answer)
                    sidecar.settle()
                    effect.last().shouldBeInstanceOf<CallEnded>()
                }
            }
        }

        describe("a sidecar that was paused") {
            it("starts nothing until heartbeats from after the pause have come") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.core.tick()
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall, queueTimeoutMs = 60_000))
                    sidecar.clock.advance(20.seconds)
                    sidecar.beat(gatewayA)
                    sidecar.target.play(firstCall, answer)
                    sidecar.settle()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                    sidecar.clock.advance(1.seconds)
                    sidecar.core.tick()
                    sidecar.settle()
                    queued.refusal().code shouldBe RefusalCode.GATEWAY_STALE
                }
            }
        }

        describe("the environment document") {
            fun document(maxRunning: Int) = "targets { engine-1 { kind = tool, max_running = $maxRunning } }"

            it("sets how many calls run, and an older version never comes back") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.send(ApplyTargetSettings(2, 1, document(2), emptyList()))
                    sidecar.send(ApplyTargetSettings(1, 1, document(9), emptyList()))
                    val report = sidecar.send(WatchLoad).last().shouldBeInstanceOf<LoadReport>()
                    report.maxRunningCalls shouldBe 2
                }
            }
        }

        describe("an order to the engine") {
            it("is refused under a lower fencing number than one seen, whatever the engine checks") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val newer = OrderTarget(7, TargetOrderKind.LOAD_MODEL, "m2")
                    sidecar.send(newer) shouldContainExactly listOf(Done)
                    sidecar.send(newer.copy(fencing = 6)) shouldContainExactly listOf(OrderFenced(7))
                    sidecar.engine.orders.map { it.fencing } shouldContainExactly listOf(7L)
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
