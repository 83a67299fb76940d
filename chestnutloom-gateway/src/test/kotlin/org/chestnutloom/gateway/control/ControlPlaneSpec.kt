package org.chestnutloom.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import kotlin.time.Duration.Companion.seconds

class ControlPlaneSpec :
    DescribeSpec({
        describe("keys and configuration") {
            it("stops a withdrawn key and tells of it, also for a key in use") {
                inControlFleet { fleet ->
                    val key = fleet.createKey("ward-9")
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.plane.keys
                        .authenticate(key.bearer())
                        .getOrNull() shouldBe Caller(wardAccount, key.id)
                    gateway.plane.keys
                        .authenticate("cl_00_0000000000000000")
                        .leftOrNull()
                        ?.code shouldBe
                        RefusalCode.UNAUTHORIZED
                    fleet.withdraw(key)
                    eventually(within = 2.seconds) { gateway.plane.keys.isWithdrawn(key.id) }
                    gateway.plane.keys
                        .authenticate(key.bearer())
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.UNAUTHORIZED
                }
            }

            it("never goes back to a lower version and never uses a document that does not decode") {
                inControlFleet { fleet ->
                    fleet.accept("ward-9=20/5")
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    fleet.accept("broken")
                    delay(2.seconds)
                    gateway.plane.settings.current.value
                        ?.version shouldBe 2
                    fleet.lease("a")?.configVersion shouldBe 2
                    fleet.write("head/$ENVIRONMENT", """{"configVersion":1,"keyVersion":0}""")
                    delay(2.seconds)
                    gateway.plane.settings.current.value
                        ?.version shouldBe 2
                }
            }

            it("goes back when that mechanism is off") {
                inControlFleet { fleet ->
                    fleet.accept("ward-9=20/5")
                    val off = Mechanisms.without(setOf(Mechanism.CONFIG_MONOTONIC))
                    val gateway = fleet.start("a", mechanisms = off).also { it.awaitReady() }
                    fleet.write("head/$ENVIRONMENT", """{"configVersion":1,"keyVersion":0}""")
                    eventually {
                        gateway.plane.settings.current.value
                            ?.version == 1L
                    }
                }
            }
        }

        describe("the proof") {
            it("is extended in an outage that all gateways share") {
                inControlFleet { fleet ->
                    val gateways = listOf("a", "b", "c").map { fleet.start(it).also { g -> g.awaitReady() } }
                    delay(3.seconds)
                    fleet.table.isDown = true
                    repeat(60) {
                        delay(1.seconds)
                        gateways.forEach {
                            it.plane.proof
                                .check()
                                .isRight() shouldBe true
                        }
                    }
                    fleet.table.isDown = false
                    delay(10.seconds)
                    gateways.forEach { fleet.lease(it.id)?.state shouldBe LeaseState.ACTIVE }
                }
            }

            it("runs out when another gateway is silent or reads the store") {
                inControlFleet { fleet ->
                    val cut = fleet.start("a").also { it.awaitReady() }
                    val silent = fleet.start("b").also { it.awaitReady() }
                    delay(2.seconds)
                    fleet.table.isDown = true
                    silent.isSilent = true
                    delay(5.seconds)
                    cut.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                    fleet.table.isDown = false
                    silent.isSilent = false
                    cut.awaitReady()
                    cut.table.isCut = true
                    delay(5.seconds)
                    cut.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                }
            }

            it("is extended past a gateway whose process is gone") {
                inControlFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    val other = fleet.start("b").also { it.awaitReady() }
                    delay(2.seconds)
                    other.kill()
                    fleet.table.isDown = true
                    delay(30.seconds)
                    gateway.plane.proof
                        .check()
                        .isRight() shouldBe true
                }
            }
        }
    })
