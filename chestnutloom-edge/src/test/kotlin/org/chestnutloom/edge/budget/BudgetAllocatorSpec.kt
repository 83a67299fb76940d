package org.chestnutloom.edge.budget

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId
import kotlin.random.Random

private const val MOST = 100L
private const val BUDGET = 8 * MOST
private val PROGRAM = ProgramId("p1")

/** Gateways of one fleet that share a store, each of which gives back claims when another one asks. */
private class Gateways(
    private val store: InMemoryRowStore,
) {
    private val keepers = LinkedHashMap<String, BudgetAllocator>()
    private val peers =
        BudgetPeers { program, claims ->
            claims.forEach { keepers["${it.gateway}/${it.incarnation}"]?.trim(program) }
            !areHoldersDeaf
        }

    /** Whether gateways that hold claims do not answer in time. */
    var areHoldersDeaf = false

    fun start(
        name: String,
        incarnation: String = "1",
    ): BudgetAllocator =
        BudgetAllocator(
            store,
            peers,
            GatewayId(name),
            Incarnation(incarnation),
        ).also { keepers["$name/$incarnation"] = it }

    fun kill(
        name: String,
        incarnation: String = "1",
    ) {
        keepers.remove("$name/$incarnation")
    }
}

class BudgetAllocatorSpec :
    DescribeSpec({
        val store = InMemoryRowStore()
        val gateways = Gateways(store)

        suspend fun BudgetAllocator.reserveTurn() = reserve(PROGRAM, BUDGET, MOST)

        suspend fun BudgetAllocator.runTurn(usedTokens: Long): Boolean {
            val reservation = reserveTurn().getOrNull() ?: return false
            reservation.settle(usedTokens)
            return true
        }

        isolationMode = io.kotest.core.spec.IsolationMode.InstancePerLeaf

        describe("a program at one gateway") {
            it("runs until its budget does not hold another whole turn") {
                val keeper = gateways.start("a")
                val turns = (1..20).count { keeper.runTurn(usedTokens = MOST) }
                turns shouldBe 8
                keeper.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("counts what turns used rather than what they might have used") {
                val keeper = gateways.start("a")
                (1..15).count { keeper.runTurn(usedTokens = MOST / 2) } shouldBe 15
                keeper.runTurn(usedTokens = MOST / 2) shouldBe false
            }

            it("counts turns under way at their most") {
                val keeper = gateways.start("a")
                (1..20).count { keeper.reserveTurn().isRight() } shouldBe 8
            }

            it("goes on for some turns while the store is away") {
                val keeper = gateways.start("a")
                keeper.runTurn(MOST) shouldBe true
                store.isUnavailable = true
                keeper.runTurn(MOST) shouldBe true
                keeper.runTurn(MOST) shouldBe true
                (1..10).forEach { _ -> keeper.runTurn(MOST) }
                keeper.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
            }

            it("loses nothing when the answer to its claim is lost") {
                val keeper = gateways.start("a")
                store.losesNextReply = true
                keeper.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
                (1..20).count { keeper.runTurn(MOST) } shouldBe 8
            }
        }

        describe("a program at several gateways") {
            it("gets the whole budget when one of them holds claims that it does not need") {
                val a = gateways.start("a")
                val b = gateways.start("b")
                val c = gateways.start("c")
                a.runTurn(MOST) shouldBe true
                b.runTurn(MOST) shouldBe true
                c.runTurn(MOST) shouldBe true
                (1..20).count { c.runTurn(MOST) } shouldBe 5
            }

            it("gets what a holder gives back although the holder knows an older row") {
                val a = gateways.start("a")
                val b = gateways.start("b")

                suspend fun turnOf(keeper: BudgetAllocator) =
                    keeper.reserve(PROGRAM, 4 * MOST, MOST).onRight { it.settle(MOST) }
                listOf(b, a, b, a).map { turnOf(it).isRight() } shouldBe listOf(true, true, true, true)
                turnOf(b).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("is not told that its budget is spent while a holder of claims does not answer") {
                val a = gateways.start("a")
                gateways.start("b").runTurn(MOST)
                gateways.areHoldersDeaf = true
                (1..20).forEach { _ -> a.runTurn(MOST) }
                a.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
                gateways.areHoldersDeaf = false
                a.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("counts what a lost gateway had claimed as spent") {
                gateways.start("a").runTurn(MOST)
                gateways.kill("a")
                val b = gateways.start("b")
                (1..20).count { b.runTurn(MOST) }.toLong() shouldBeLessThanOrEqual 7
            }

            it("counts the claim of its own former run as spent") {
                gateways.start("a").runTurn(MOST)
                gateways.kill("a")
                val restarted = gateways.start("a", incarnation = "2")
                (1..20).count { restarted.runTurn(MOST) }.toLong() shouldBeLessThanOrEqual 7
            }

            it("never hands out more than the budget, whatever happens to gateways and store") {
                (1..200).forEach { seed ->
                    val random = Random(seed)
                    val chaosStore = InMemoryRowStore()
                    val fleet = Gateways(chaosStore)
                    var runs = 1
                    val keepers = MutableList(3) { fleet.start("g$it") }
                    var handedOut = 0L
                    repeat(60) {
                        val index = random.nextInt(keepers.size)
                        chaosStore.isUnavailable = random.nextInt(5) == 0
                        chaosStore.losesNextReply = random.nextInt(6) == 0
                        if (random.nextInt(12) == 0) keepers[index] = fleet.start("g$index", "${++runs}")
                        val used = random.nextLong(MOST + 1)
                        if (keepers[index].runTurn(used)) handedOut += used
                    }
                    handedOut shouldBeLessThanOrEqual BUDGET
                }
            }
        }
    })
