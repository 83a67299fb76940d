package org.chestnutloom.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.Execution
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.CallId
import org.chestnutloom.id.KeyId
import org.chestnutloom.wire.message.ApplyTargetSettings
import org.chestnutloom.wire.message.CallEnded
import kotlin.time.Duration.Companion.seconds

class DispatchCheckSpec :
    DescribeSpec({
        val secondCall = CallId("p1/2")

        fun withdraw(key: String) = ApplyTargetSettings(1, 1, "", listOf(KeyId(key)))

        describe("a queued call") {
            it("does not start if its key has been withdrawn") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest(key = "key-2"))
                    val queued = sidecar.run(callRequest(secondCall))
                    sidecar.send(withdraw("key-1"))
                    queued.refusal().code shouldBe RefusalCode.UNAUTHORIZED
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                }
            }
            it("does not start if its gateway's freshness proof has expired, unless another gateway sent it again") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val unclaimed = sidecar.run(callRequest(secondCall))
                    val reassigned = sidecar.run(callRequest(CallId("p1/3")))
                    sidecar.clock.advance(5.seconds)
                    sidecar.sendHeartbeat(gatewayB)
                    sidecar.run(callRequest(CallId("p1/3")), gatewayB)
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    unclaimed.refusal().code shouldBe RefusalCode.GATEWAY_STALE
                    sidecar.target.respond(CallId("p1/3"), answer)
                    sidecar.runCurrent()
                    reassigned.last().shouldBeInstanceOf<CallEnded>()
                    sidecar.target.sent shouldContainExactly listOf(firstCall, CallId("p1/3"))
                }
            }
            it("is refused as not run after its queue timeout") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall, queueTimeoutMs = 1_000))
                    sidecar.clock.advance(1.seconds)
                    sidecar.core.calls.expireQueue()
                    sidecar.runCurrent()
                    queued.refusal().code shouldBe RefusalCode.OVERLOADED
                    queued.refusal().execution shouldBe Execution.NOT_RUN
                }
            }
        }

        describe("a withdrawn key") {
            it("cancels running calls except non-idempotent ones") {
                runTest {
                    val sidecar = SidecarFixture(this, maxRunning = 2)
                    val idempotent = sidecar.run(callRequest())
                    val nonIdempotent = sidecar.run(callRequest(secondCall, idempotent = false))
                    sidecar.send(withdraw("key-1"))
                    idempotent.refusal().code shouldBe RefusalCode.UNAUTHORIZED
                    sidecar.target.respond(secondCall, answer)
                    sidecar.runCurrent()
                    nonIdempotent.last().shouldBeInstanceOf<CallEnded>()
                }
            }
        }

        describe("a sidecar that was paused") {
            it("starts no calls until it has received heartbeats that were sent after the pause") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.core.processQueue()
                    sidecar.run(callRequest())
                    val queued = sidecar.run(callRequest(secondCall, queueTimeoutMs = 60_000))
                    sidecar.clock.advance(20.seconds)
                    sidecar.sendHeartbeat(gatewayA)
                    sidecar.target.respond(firstCall, answer)
                    sidecar.runCurrent()
                    sidecar.target.sent shouldContainExactly listOf(firstCall)
                    sidecar.clock.advance(1.seconds)
                    sidecar.core.processQueue()
                    sidecar.runCurrent()
                    queued.refusal().code shouldBe RefusalCode.GATEWAY_STALE
                }
            }
        }
    })
