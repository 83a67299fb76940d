package org.chestnutloom.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.chestnutloom.id.ProgramId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.wire.message.EndProgram
import kotlin.time.Duration.Companion.seconds

class SidecarCacheSpec :
    DescribeSpec({
        val program = ProgramId("p1")

        suspend fun SidecarFixture.runCall() {
            run(callRequest(stream = true))
            target.respond(firstCall, TargetEvent.Chunk("a"), TargetEvent.StreamEnd)
            runCurrent()
            engine.cache[program] = 1_200
            core.sweepCache()
        }

        describe("the engine cache of a program") {
            it("is released when the program ends, and again if the engine stores it afterwards") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.runCall()
                    sidecar.send(EndProgram(program))
                    sidecar.engine.cache shouldBe emptyMap()
                    sidecar.engine.cache[program] = 600
                    sidecar.core.sweepCache()
                    sidecar.engine.cache shouldBe emptyMap()
                }
            }
            it("is released if its gateway sends no more heartbeats and no other gateway uses the program") {
                runTest {
                    val sidecar = SidecarFixture(this)
                    sidecar.runCall()
                    sidecar.clock.advance(29.seconds)
                    sidecar.sendHeartbeat(gatewayB)
                    sidecar.core.sweepCache()
                    sidecar.engine.cache shouldBe mapOf(program to 1_200L)
                    sidecar.clock.advance(2.seconds)
                    sidecar.core.sweepCache()
                    sidecar.engine.cache shouldBe emptyMap()
                }
            }
            it("is kept if cache release is disabled") {
                runTest {
                    val sidecar = SidecarFixture(this, 1, Mechanism.CACHE_RELEASE)
                    sidecar.runCall()
                    sidecar.send(EndProgram(program))
                    sidecar.clock.advance(60.seconds)
                    sidecar.core.sweepCache()
                    sidecar.engine.cache shouldBe mapOf(program to 1_200L)
                }
            }
        }
    })
