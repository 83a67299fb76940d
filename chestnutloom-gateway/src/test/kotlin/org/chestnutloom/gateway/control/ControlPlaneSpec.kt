package org.chestnutloom.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.store.decodeOrNull
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val account = ClientAccountId("ward-9")
private val program = ProgramId("p1")

private fun change(
    state: String,
    vararg turns: Pair<Int, String>,
    of: ProgramId = program,
) = JournalChange(of, JsonPrimitive(state), turns.associate { (n, record) -> n to JsonPrimitive(record) })

private fun inFleet(body: suspend TestScope.(TestFleet) -> Unit) =
    runTest {
        val fleet = TestFleet(this)
        fleet.accept("ward-9=10/5")
        withTimeout(10.minutes) { body(fleet) }
    }

private suspend fun TestGateway.awaitReady() = eventually { plane.isReady && plane.proof.check().isRight() }

private suspend fun TestGateway.awaitOwning(program: ProgramId) =
    eventually { plane.ownership.locate(program) is ProgramLocation.Here }

private suspend fun TestFleet.lease(id: String): LeaseRecord? =
    row("gateway/$ENVIRONMENT/$id")?.decodeOrNull<LeaseRecord>()

class ControlPlaneSpec :
    DescribeSpec({
        describe("ownership") {
            it("gives each program to exactly one of two gateways") {
                inFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    val second = fleet.start("b").also { it.awaitReady() }
                    delay(5.seconds)
                    val programs = (1..50).map { ProgramId("p$it") }
                    val owners =
                        programs.map { p ->
                            listOf(first, second).count { it.plane.ownership.locate(p) is ProgramLocation.Here }
                        }
                    owners.distinct() shouldBe listOf(1)
                    first.plane.ownership
                        .locate(program)
                        .let { it is ProgramLocation.Unavailable } shouldBe false
                }
            }

            it("passes programs of a killed gateway on after its lease, with all their turns") {
                inFleet { fleet ->
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

            it("lets a gateway that is cut from the store past its lease write nothing and act on nothing") {
                inFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    first.awaitOwning(program)
                    val second = fleet.start("b").also { it.awaitReady() }
                    first.plane.journal.commit(change("s1"))
                    first.table.isCut = true
                    val kept = async { first.plane.journal.commitOrKeep(change("stale")) }
                    second.awaitOwning(program)
                    first.plane.proof
                        .check()
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                    second.plane.journal.commit(change("s2"))
                    kept.await().getOrNull() shouldBe Durability.IN_MEMORY
                    first.table.isCut = false
                    first.awaitReady()
                    delay(5.seconds)
                    val holder =
                        listOf(
                            first,
                            second,
                        ).first { it.plane.ownership.locate(program) is ProgramLocation.Here }
                    holder.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s2")
                }
            }

            it("hands everything over at once in a planned stop") {
                inFleet { fleet ->
                    val first = fleet.start("a").also { it.awaitReady() }
                    first.awaitOwning(program)
                    first.plane.journal.commit(change("s1"))
                    val second = fleet.start("b").also { it.awaitReady() }
                    first.plane.admission.admit(account)
                    first.plane.stopGracefully()
                    first.kill()
                    second.plane.ownership
                        .locate(program)
                        .shouldBeInstanceOf<ProgramLocation.Here>()
                    second.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s1")
                    repeat(4) {
                        second.plane.admission
                            .admit(account)
                            .isRight() shouldBe true
                    }
                }
            }
        }

        describe("the journal") {
            it("reports a change as not recorded only when it never becomes durable") {
                inFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.awaitOwning(program)
                    gateway.plane.journal.commit(change("s1"))
                    gateway.table.isCut = true
                    gateway.plane.journal
                        .commit(
                            change("s2"),
                        ).leftOrNull()
                        .shouldBeInstanceOf<JournalFailure.StoreDown>()
                    gateway.plane.journal
                        .load(program)
                        .getOrNull() shouldBe JsonPrimitive("s1")
                    gateway.table.isCut = false
                    delay(2.seconds)
                    gateway.plane.journal
                        .commit(change("s3"))
                        .isRight() shouldBe true
                }
            }

            it("settles a commit whose reply was lost or whose request was held") {
                inFleet { fleet ->
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

            it("keeps changes in order through an outage and makes them durable after it") {
                inFleet { fleet ->
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.awaitOwning(program)
                    gateway.plane.journal.noteNew(program)
                    fleet.table.isDown = true
                    delay(1.seconds)
                    val results = (1..20).map { gateway.plane.journal.commitOrKeep(change("s$it", it to "t$it")) }
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

        describe("keys and configuration") {
            it("stops a withdrawn key and tells of it, also for a key in use") {
                inFleet { fleet ->
                    val key = fleet.createKey("ward-9")
                    val gateway = fleet.start("a").also { it.awaitReady() }
                    gateway.plane.keys
                        .authenticate(key.bearer())
                        .getOrNull() shouldBe Caller(account, key.id)
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
                inFleet { fleet ->
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
                inFleet { fleet ->
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
                inFleet { fleet ->
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
                inFleet { fleet ->
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
                inFleet { fleet ->
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
