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
            it("rejects a withdrawn key, including one that is already cached") {
                withTestFleet { fleet ->
                    val key = fleet.createKey("ward-9")
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.plane.keys
                        .authenticate(key.bearer())
                        .getOrNull() shouldBe Caller(testAccount, key.id)
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

            it("never applies a lower version or a document that cannot be decoded") {
                withTestFleet { fleet ->
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

            it("applies a lower version without the CONFIG_MONOTONIC mechanism") {
                withTestFleet { fleet ->
                    fleet.accept("ward-9=20/5")
                    val nonMonotonic = Mechanisms.without(setOf(Mechanism.CONFIG_MONOTONIC))
                    val gateway = fleet.start("a", mechanisms = nonMonotonic).also { it.awaitReady() }
                    fleet.write("head/$ENVIRONMENT", """{"configVersion":1,"keyVersion":0}""")
                    eventually {
                        gateway.plane.settings.current.value
                            ?.version == 1L
                    }
                }
            }
        }

        describe("the freshness proof") {
            it("is extended in a store outage that affects all gateways") {
                withTestFleet { fleet ->
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

            it("expires when another gateway does not reply or can read the store") {
                withTestFleet { fleet ->
                    val partitioned = fleet.start("a").also { it.awaitReady() }
                    val unresponsive = fleet.start("b").also { it.awaitReady() }
                    delay(2.seconds)
                    fleet.table.isDown = true
                    unresponsive.isUnresponsive = true
                    delay(5.seconds)
                    partitioned.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                    fleet.table.isDown = false
                    unresponsive.isUnresponsive = false
                    partitioned.awaitReady()
                    partitioned.table.isPartitioned = true
                    delay(5.seconds)
                    partitioned.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                }
            }

            it("is extended when the process of another gateway has ended") {
                withTestFleet { fleet ->
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
