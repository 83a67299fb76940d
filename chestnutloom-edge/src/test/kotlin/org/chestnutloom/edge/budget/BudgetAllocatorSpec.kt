package org.chestnutloom.edge.budget

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val MAX_TOKENS = 100L
private const val BUDGET = 8 * MAX_TOKENS
private val PROGRAM = ProgramId("p1")

class BudgetAllocatorSpec :
    DescribeSpec({
        val store = InMemoryRowStore()
        val gateways = BudgetGateways(store)

        var turns = 0

        fun nextTurn() = CallId("t${++turns}")

        suspend fun BudgetAllocator.reserveTurn(
            turn: CallId = nextTurn(),
            program: ProgramId = PROGRAM,
            account: ClientAccountId? = null,
            isStored: Boolean = false,
        ) = reserve(TurnTokens(BudgetKey(program, account), turn, BUDGET, MAX_TOKENS, isStored))

        /** Runs a turn that is stored at its end. */
        suspend fun BudgetAllocator.runStoredTurn(usedTokens: Long): Boolean {
            val turn = nextTurn()
            val reservation = reserveTurn(turn, isStored = true).getOrNull() ?: return false
            gateways.storedTurns[turn] = usedTokens
            reservation.complete(usedTokens, isWhole = true)
            return true
        }

        suspend fun BudgetAllocator.runTurn(usedTokens: Long): Boolean {
            val reservation = reserveTurn().getOrNull() ?: return false
            reservation.complete(usedTokens)
            return true
        }

        isolationMode = io.kotest.core.spec.IsolationMode.InstancePerLeaf

        describe("a program on one gateway") {
            it("runs until the remaining budget is too small for another turn") {
                val allocator = gateways.start("a")
                val turns = (1..20).count { allocator.runTurn(usedTokens = MAX_TOKENS) }
                turns shouldBe 8
                allocator.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("charges completed turns with the tokens they used, not with their maximum") {
                val allocator = gateways.start("a")
                (1..15).count { allocator.runTurn(usedTokens = MAX_TOKENS / 2) } shouldBe 15
                allocator.runTurn(usedTokens = MAX_TOKENS / 2) shouldBe false
            }

            it("charges turns in progress with their maximum") {
                val allocator = gateways.start("a")
                (1..20).count { allocator.reserveTurn().isRight() } shouldBe 8
            }

            it("continues for some turns while the store is unavailable") {
                val allocator = gateways.start("a")
                allocator.runTurn(MAX_TOKENS) shouldBe true
                store.isUnavailable = true
                allocator.runTurn(MAX_TOKENS) shouldBe true
                allocator.runTurn(MAX_TOKENS) shouldBe true
                (1..10).forEach { _ -> allocator.runTurn(MAX_TOKENS) }
                allocator.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
            }

            it("can use its whole budget after the response to a claim was lost") {
                val allocator = gateways.start("a")
                store.losesNextResponse = true
                allocator.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
                (1..20).count { allocator.runTurn(MAX_TOKENS) } shouldBe 8
            }
        }

        describe("a program that its gateway has evicted from memory") {
            // Guards against a budget that is spent twice (review/7).
            it("keeps what it had spent") {
                val allocator = gateways.start("a", maxPrograms = 1)
                (1..20).count { allocator.runTurn(MAX_TOKENS) } shouldBe 8
                allocator.reserveTurn(program = ProgramId("other")).getOrNull()?.complete(0)
                allocator.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("can use the rest of its budget") {
                val allocator = gateways.start("a", maxPrograms = 1)
                (1..5).count { allocator.runStoredTurn(MAX_TOKENS / 2) } shouldBe 5
                repeat(3) { allocator.reserveTurn(program = ProgramId("q$it")) }
                (1..20).count { allocator.runStoredTurn(MAX_TOKENS / 2) } shouldBe 10
            }
        }

        describe("programs of two client accounts with the same id") {
            // Guards against a program that is denied for the tokens of another account's (SharedProgramId).
            it("have budgets of their own") {
                val allocator = gateways.start("a")
                listOf("ward", "clinic").forEach { account ->
                    val turns =
                        (1..20).count {
                            val turn = allocator.reserveTurn(account = ClientAccountId(account))
                            turn.onRight { it.complete(MAX_TOKENS) }.isRight()
                        }
                    turns shouldBe 8
                }
            }
        }

        describe("a program whose row cannot be decoded") {
            // Guards against claims that are taken for missing, so that their tokens are spent twice.
            it("is refused as not run, and the row is left as it is") {
                val key = RowKey("programs", PROGRAM.value, "budget")
                val unreadable = "unreadable".encodeToByteArray()
                store.change(RowChange(puts = listOf(RowPut(key, unreadable))))
                val allocator = gateways.start("a")
                repeat(2) { allocator.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE }
                val rows = store.read(key.table, key.partition).getOrNull()?.rows
                rows?.single()?.value shouldBe unreadable
            }
        }

        describe("a program on several gateways") {
            it("can use the whole budget when some of them hold unneeded claims") {
                val a = gateways.start("a")
                val b = gateways.start("b")
                val c = gateways.start("c")
                a.runTurn(MAX_TOKENS) shouldBe true
                b.runTurn(MAX_TOKENS) shouldBe true
                c.runTurn(MAX_TOKENS) shouldBe true
                (1..20).count { c.runTurn(MAX_TOKENS) } shouldBe 5
            }

            it("gets released tokens even if the holder has read an older row") {
                val a = gateways.start("a")
                val b = gateways.start("b")

                suspend fun turnOf(allocator: BudgetAllocator) =
                    allocator
                        .reserve(
                            TurnTokens(
                                BudgetKey(PROGRAM, null),
                                nextTurn(),
                                4 * MAX_TOKENS,
                                MAX_TOKENS,
                                isStored = false,
                            ),
                        ).onRight { it.complete(MAX_TOKENS) }
                listOf(b, a, b, a).map { turnOf(it).isRight() } shouldBe listOf(true, true, true, true)
                turnOf(b).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("is not refused as exhausted while a holder of claims does not reply") {
                val a = gateways.start("a")
                gateways.start("b").runTurn(MAX_TOKENS)
                gateways.areHoldersUnresponsive = true
                (1..20).forEach { _ -> a.runTurn(MAX_TOKENS) }
                a.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.STORE_UNAVAILABLE
                gateways.areHoldersUnresponsive = false
                a.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("counts the claim of a failed gateway as spent") {
                gateways.start("a").runTurn(MAX_TOKENS)
                gateways.kill("a")
                val b = gateways.start("b")
                (1..20).count { b.runTurn(MAX_TOKENS) }.toLong() shouldBeLessThanOrEqual 7
            }

            it("counts the claim of a previous run of the same gateway as spent") {
                gateways.start("a").runTurn(MAX_TOKENS)
                gateways.kill("a")
                val restarted = gateways.start("a", incarnation = "2")
                (1..20).count { restarted.runTurn(MAX_TOKENS) }.toLong() shouldBeLessThanOrEqual 7
            }

            // Guards against programs that end because a few gateways that served one turn each have failed.
            it("continues after three gateways that held claims have failed") {
                listOf("a", "b", "c").forEach { name ->
                    gateways.start(name).runTurn(MAX_TOKENS / 2) shouldBe true
                    gateways.kill(name)
                }
                val survivor = gateways.start("d")
                (1..20).count { survivor.runTurn(MAX_TOKENS / 2) } shouldBe 3
            }

            // Guards against programs that are refused for good after a kill of all gateways (review/8).
            it("can use its whole budget after all gateways that stored its turns have failed between them") {
                gateways.start("a").runStoredTurn(MAX_TOKENS) shouldBe true
                gateways.start("b").runStoredTurn(MAX_TOKENS) shouldBe true
                gateways.kill("a")
                gateways.kill("b")
                val a = gateways.start("a", incarnation = "2")
                val b = gateways.start("b", incarnation = "2")
                (1..10).count { (if (it % 2 == 0) a else b).runStoredTurn(MAX_TOKENS) } shouldBe 6
                a.reserveTurn(isStored = true).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            // Guards against the same refusal if the gateways fail again and again in the middle of turns.
            it("is charged for stored turns of failed gateways with the tokens that they used") {
                repeat(3) { run ->
                    val gateway = gateways.start("a", incarnation = "$run")
                    val turn = nextTurn()
                    gateway.reserveTurn(turn, isStored = true).isRight() shouldBe true
                    gateways.storedTurns[turn] = MAX_TOKENS / 4
                    gateways.kill("a", incarnation = "$run")
                }
                val b = gateways.start("b")
                (1..20).count { b.runStoredTurn(MAX_TOKENS) } shouldBe 7
            }

            // Guards against a program that is refused for good for a turn which its gateway never sent (review/14).
            it("can use its whole budget after a gateway has failed with a turn that it had not sent") {
                gateways.start("a").reserveTurn(isStored = true).isRight() shouldBe true
                gateways.kill("a")
                val b = gateways.start("b")
                (1..10).count { b.runStoredTurn(MAX_TOKENS) } shouldBe 8
            }

            // Guards against gateways that each let a turn exceed the budget.
            it("exceeds it by one turn at most, whichever gateways have failed in the middle of turns") {
                repeat(3) { gateways.start("a", incarnation = "$it").reserveTurn(isStored = true) }
                repeat(3) { gateways.kill("a", incarnation = "$it") }
                val others = listOf("b", "c").map(gateways::start)
                (1..20).count { others[it % 2].runStoredTurn(MAX_TOKENS) } shouldBe 6
            }

            // Guards against a program that is neither served nor refused for good after its turns were broken off.
            it("is refused as exhausted once the turns of failed gateways can't end any more") {
                repeat(2) { gateways.start("a", incarnation = "$it").reserveTurn(isStored = true) }
                repeat(2) { gateways.kill("a", incarnation = "$it") }
                val b = gateways.start("b")
                (1..10).count { b.runStoredTurn(MAX_TOKENS) } shouldBe 7
                b.reserveTurn(isStored = true).leftOrNull()?.code shouldBe RefusalCode.BUDGET_UNSETTLED
                gateways.goneFor = 3.seconds
                b.reserveTurn(isStored = true).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            // Guards against a final refusal of a program whose budget may not be spent.
            it("is refused as unsettled, not as exhausted, while failed gateways may not have spent the rest") {
                listOf("a", "b", "c").forEach { name ->
                    gateways.start(name).runTurn(MAX_TOKENS / 2)
                    gateways.kill(name)
                }
                val survivor = gateways.start("d")
                (1..20).forEach { _ -> survivor.runTurn(MAX_TOKENS / 2) }
                survivor.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_UNSETTLED
            }

            // Guards against a claim of a gateway that stopped gracefully and is taken for one that failed.
            it("is refused as exhausted once gateways that have released their claims spent the rest") {
                val a = gateways.start("a")
                (1..5).forEach { _ -> a.runTurn(MAX_TOKENS) }
                a.settleAll()
                gateways.kill("a")
                val b = gateways.start("b")
                (1..20).count { b.runTurn(MAX_TOKENS) } shouldBe 3
                b.reserveTurn().leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
            }

            it("never exceeds the budget under gateway restarts and store failures") {
                (1..200).forEach { seed ->
                    val random = Random(seed)
                    val faultyStore = InMemoryRowStore()
                    val fleet = BudgetGateways(faultyStore)
                    var runs = 1
                    val allocators = MutableList(3) { fleet.start("g$it") }
                    var spentTokens = 0L
                    repeat(60) {
                        val index = random.nextInt(allocators.size)
                        faultyStore.isUnavailable = random.nextInt(5) == 0
                        faultyStore.losesNextResponse = random.nextInt(6) == 0
                        if (random.nextInt(12) == 0) allocators[index] = fleet.start("g$index", "${++runs}")
                        val used = random.nextLong(MAX_TOKENS + 1)
                        if (allocators[index].runTurn(used)) spentTokens += used
                    }
                    spentTokens shouldBeLessThanOrEqual BUDGET
                }
            }
        }
    })
