package org.chestnutloom.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.ProgramId
import org.chestnutloom.lease.LeaseState
import kotlin.time.Duration.Companion.seconds

class OwnershipSpec :
    DescribeSpec({
        describe("ownership") {
            it("assigns each program to exactly one of two gateways") {
                withTestFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    val second = fleet.start("b").also { it.awaitReady() }
                    delay(5.seconds)
                    val programs = (1..50).map { ProgramId("p$it") }
                    val owners =
                        programs.map { p ->
                            listOf(first, second).count { it.plane.ownership.locate(p) is ProgramLocation.Local }
                        }
                    owners.distinct() shouldBe listOf(1)
                    first.plane.ownership
                        .locate(program)
                        .let { it is ProgramLocation.Unavailable } shouldBe false
                }
            }

            it("moves the programs of a crashed gateway with all their turns to another one after its lease expires") {
                withTestFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    first.awaitOwning(program)
                    first.plane.journal.commit(change("s1", 1 to "t1", 2 to "t2"))
                    first.kill()
                    val second = fleet.start("b").also { it.awaitReady() }
                    second.awaitOwning(program)
                    second.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s1")
                    second.plane.journal
                        .loadTurn(program, 2)
                        .getOrNull() shouldBe JsonPrimitive("t2")
                    second.plane.journal
                        .loadTurn(program, 3)
                        .getOrNull() shouldBe null
                    fleet.lease("a")?.state shouldBe LeaseState.FENCED
                }
            }

            it("stops all writes and effects of a gateway that is partitioned from the store past its lease") {
                withTestFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    first.awaitOwning(program)
                    val second = fleet.start("b").also { it.awaitReady() }
                    first.plane.journal.commit(change("s1"))
                    first.table.isPartitioned = true
                    val buffered = async { first.plane.journal.commitOrBuffer(change("stale")) }
                    second.awaitOwning(program)
                    first.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                    second.plane.journal.commit(change("s2"))
                    buffered.await().getOrNull() shouldBe Durability.IN_MEMORY
                    first.table.isPartitioned = false
                    first.awaitReady()
                    delay(5.seconds)
                    val holder =
                        listOf(
                            first,
                            second,
                        ).first { it.plane.ownership.locate(program) is ProgramLocation.Local }
                    holder.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s2")
                }
            }

            it("hands over slots and rights immediately in a graceful shutdown") {
                withTestFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    first.awaitOwning(program)
                    first.plane.journal.commit(change("s1"))
                    val second = fleet.start("b").also { it.awaitReady() }
                    first.plane.admission.admit(testAccount)
                    first.plane.stopGracefully()
                    first.kill()
                    second.plane.ownership
                        .locate(program)
                        .shouldBeInstanceOf<ProgramLocation.Local>()
                    second.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s1")
                    repeat(4) {
                        second.plane.admission
                            .admit(testAccount)
                            .isRight() shouldBe true
                    }
                }
            }
        }

        describe("the journal") {
            it("reports a failed commit only for a change that never becomes durable") {
                withTestFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.awaitOwning(program)
                    gateway.plane.journal.commit(change("s1"))
                    gateway.table.isPartitioned = true
                    gateway.plane.journal
                        .commit(
                            change("s2"),
                        ).leftOrNull()
                        .shouldBeInstanceOf<JournalFailure.StoreUnavailable>()
                    gateway.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s1")
                    gateway.table.isPartitioned = false
                    delay(2.seconds)
                    gateway.plane.journal
                        .commit(change("s3"))
                        .isRight() shouldBe true
                }
            }

            it("resolves the outcome of a commit whose reply was lost or whose request was delayed") {
                withTestFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.awaitOwning(program)
                    fleet.table.repliesToLose = 2
                    gateway.plane.journal
                        .commit(change("s1", 1 to "t1"))
                        .isRight() shouldBe true
                    fleet.table.requestsToHold = 2
                    gateway.plane.journal
                        .commit(change("s2", 2 to "t2"))
                        .isRight() shouldBe true
                    fleet.table.releaseHeld()
                    gateway.plane.journal
                        .commit(change("s3"))
                        .isRight() shouldBe true
                    gateway.plane.journal
                        .loadTurn(program, 1)
                        .getOrNull() shouldBe JsonPrimitive("t1")
                    fleet.lease("a")?.state shouldBe LeaseState.ACTIVE
                }
            }

            it("buffers changes in order during a store outage and makes them durable afterwards") {
                withTestFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.awaitOwning(program)
                    gateway.plane.journal.markNew(program)
                    fleet.table.isDown = true
                    delay(1.seconds)
                    val results = (1..20).map { gateway.plane.journal.commitOrBuffer(change("s$it", it to "t$it")) }
                    results.map { it.getOrNull() }.distinct() shouldBe listOf(Durability.IN_MEMORY)
                    gateway.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s20")
                    delay(60.seconds)
                    fleet.table.isDown = false
                    eventually { fleet.row("program/$ENVIRONMENT/p1")?.value?.contains("s20") == true }
                    gateway.kill()
                    val next = fleet.start("a", incarnation = "2").also { it.awaitReady() }
                    next.awaitOwning(program)
                    (1..20).forEach {
                        next.plane.journal
                            .loadTurn(program, it)
                            .getOrNull() shouldBe JsonPrimitive("t$it")
                    }
                }
            }
        }
    })
