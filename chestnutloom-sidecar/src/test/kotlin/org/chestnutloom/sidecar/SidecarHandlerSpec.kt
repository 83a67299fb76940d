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
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.target.TargetEvent
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

class SidecarHandlerSpec :
    DescribeSpec({
        val secondCall = CallId("p1/2")

        describe("a call") {
            it("runs once, and a duplicate from another gateway receives the same answer") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val first = sidecar.run(callRequest(idempotent = false))
                    val duplicate = sidecar.run(callRequest(idempotent = false), gatewayB)
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    first.last().shouldBeInstanceOf<CallEnded>().body shouldBe answer.body
                    duplicate.last() shouldBe first.last()
                    sidecar.run(callRequest(idempotent = false, attempt = 2)).last() shouldBe first.last()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("runs twice if duplicate suppression is disabled") {
                runTest {
                    val sidecar = SidecarFixture(this, 2, Mechanism.DUPLICATE_SUPPRESSION)
                    sidecar.run(callRequest(idempotent = false))
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    sidecar.run(callRequest(idempotent = false))
                    sidecar.target.sent.size shouldBe 2
                }
            }
            it("continues when its link is lost, and can be resumed at the next chunk") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val stream = sidecar.open(RunCall(callRequest(stream = true)))
                    sidecar.target.respond(firstCall, TargetEvent.Chunk("a"), TargetEvent.Chunk("b"))
                    sidecar.runCurrent()
                    stream.cancel()
                    sidecar.target.respond(firstCall, TargetEvent.Chunk("c"), TargetEvent.StreamEnd)
                    val rest = sidecar.send(AttachCall(firstCall, fromChunk = 2), gatewayB)
                    rest.filterIsInstance<CallChunk>() shouldContainExactly listOf(CallChunk(2, "c"))
                    rest.last().shouldBeInstanceOf<CallEnded>().chunks shouldBe 3
                }
            }
            it("does not run again after its answer was removed as durable") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    sidecar.send(ForgetCalls(listOf(firstCall)))
                    sidecar.run(callRequest(attempt = 2)).refusal().execution shouldBe Execution.RAN
                    sidecar.target.sent.size shouldBe 1
                }
            }
            it("is refused if its owner epoch is lower than the highest one seen") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(ownerEpoch = 5))
                    val fromOldOwner = sidecar.run(callRequest(secondCall, ownerEpoch = 4))
                    fromOldOwner.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("that may have run is not reported as not run to an earlier owner") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(ownerEpoch = 4))
                    sidecar.run(callRequest(secondCall, ownerEpoch = 5))
                    sidecar.run(callRequest(ownerEpoch = 4)).refusal().execution shouldBe Execution.UNKNOWN
                }
            }
            it("does not receive the answer to a different body") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    sidecar.run(callRequest(body = "other")).refusal().code shouldBe RefusalCode.TURN_MISMATCH
                }
            }
        }

        describe("a query for a call") {
            it("that returns not run prevents the call from running later") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.requestStatus(QueryCall(firstCall, fence = false)).state shouldBe CallState.NOT_RUN
                    sidecar.run(callRequest()).refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.sent.shouldBeEmpty()
                }
            }
            it("does not prevent the call from running if the not-run fence is disabled") {
                runTest {
                    val sidecar = SidecarFixture(this, 1, Mechanism.NOT_RUN_FENCE)
                    sidecar.requestStatus(QueryCall(firstCall, fence = true)).state shouldBe CallState.NOT_RUN
                    sidecar.run(callRequest())
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
            it("removes a queued call if the query fences it") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall))
                    sidecar.requestStatus(QueryCall(secondCall, fence = true)).state shouldBe CallState.NOT_RUN
                    sidecar.runCurrent()
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                }
            }
        }

        describe("a cancellation") {
            it("cancels an idempotent call at the target") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest())
                    sidecar.requestStatus(CancelCall(firstCall)).state shouldBe CallState.RUNNING
                    sidecar.runCurrent()
                    replies.refusal().code shouldBe RefusalCode.CANCELLED
                    sidecar.target.cancelled shouldContainExactly listOf(firstCall)
                }
            }
            it("does not interrupt a running non-idempotent call") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val replies = sidecar.run(callRequest(idempotent = false))
                    sidecar.requestStatus(CancelCall(firstCall))
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    replies.last().shouldBeInstanceOf<CallEnded>()
                }
            }
        }

        describe("the environment document") {
            fun document(maxRunning: Int) = "targets { engine-1 { kind = tool, max_running = $maxRunning } }"

            it("sets the maximum number of running calls, and an older version is ignored") {
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
            it("is refused if its fencing token is lower than the highest one seen, even if the engine accepts it") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    val newer = OrderTarget(7, TargetOrderKind.LOAD_MODEL, "m2")
                    sidecar.send(newer) shouldContainExactly listOf(Done)
                    sidecar.send(newer.copy(fencing = 6)) shouldContainExactly listOf(OrderFenced(7))
                    sidecar.engine.orders.map { it.fencing } shouldContainExactly listOf(7L)
                }
            }
        }
    })
