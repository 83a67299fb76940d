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

class StartGateSpec :
    DescribeSpec({
        val secondCall = CallId("p1/2")

        fun withdraw(key: String) = ApplyTargetSettings(1, 1, "", listOf(KeyId(key)))

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
    })
