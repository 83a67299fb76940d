package org.chestnutloom.edge

import arrow.core.Either
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.budget.BudgetHolder
import org.chestnutloom.edge.budget.BudgetKey
import org.chestnutloom.edge.budget.BudgetRows
import org.chestnutloom.edge.budget.TurnTokens
import org.chestnutloom.edge.crash.TrialGrants
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.turn.TurnMemory
import org.chestnutloom.edge.turn.TurnPeers
import org.chestnutloom.edge.turn.TurnRows
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.ReadStore
import org.chestnutloom.wire.message.StoreReply
import org.chestnutloom.wire.message.TrimBudget
import kotlin.time.Duration.Companion.milliseconds

private val PEER = PeerIdentity("g2", Incarnation("1"), PeerRole.GATEWAY)
private val PROGRAM = ProgramId("p1")

/** A store whose changes take a while, as over a network. */
private class DelayedRowStore(
    private val store: RowStore,
) : RowStore by store {
    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> {
        delay(5.milliseconds)
        return store.change(change)
    }
}

class EdgeLinkHandlerSpec :
    DescribeSpec({
        fun TestScope.turnStore(store: RowStore) =
            TurnStore(
                TurnRows(store, rowBytes = 65_536),
                TurnPeers { null },
                { true },
                VirtualClock(this),
                TurnMemory(1_000_000),
            )

        fun TestScope.budgetAllocator(store: RowStore): BudgetAllocator {
            val holder = BudgetHolder(GatewayId("g1"), Incarnation("1"))
            return BudgetAllocator(BudgetRows(store), { _, _ -> true }, { _, _ -> null }, holder, this)
        }

        describe("a request to read a partition that exceeds a link message") {
            // Guards against large turns that could not be read through another gateway.
            it("is answered in pages, which contain each row once") {
                runTest {
                    val store = InMemoryRowStore()
                    val turn = CallId("t")
                    TurnRows(store, rowBytes = 65_536).write(turn, ByteArray(8_388_608))
                    val budgets = budgetAllocator(store)
                    val handler = EdgeLinkHandler(store, budgets, turnStore(store), TrialGrants(VirtualClock(this)))
                    val pages = ArrayList<StoreReply.Rows>()
                    do {
                        val after =
                            pages
                                .lastOrNull()
                                ?.rows
                                ?.last()
                                ?.key
                        pages += handler.handle(PEER, ReadStore("turns", "t", after)).first() as StoreReply.Rows
                    } while (pages.last().hasMore)
                    pages.maxOf { page -> page.rows.sumOf { it.value?.size ?: 0 } } shouldBeLessThan 2 * 1024 * 1024
                    pages
                        .flatMap { it.rows }
                        .map { it.key }
                        .toSet()
                        .size shouldBe pages.sumOf { it.rows.size }
                    pages.sumOf { page -> page.rows.sumOf { it.value?.size ?: 0 } } shouldBe 8_388_608
                }
            }
        }

        describe("a request to release an unneeded claim") {
            // Guards against a lost reply, after which the other gateway refuses the turn as contended.
            it("is acknowledged after the claim was written") {
                runTest {
                    val store = DelayedRowStore(InMemoryRowStore())
                    val budgets = budgetAllocator(store)
                    val handler = EdgeLinkHandler(store, budgets, turnStore(store), TrialGrants(VirtualClock(this)))
                    val turn =
                        TurnTokens(
                            BudgetKey(PROGRAM, null),
                            CallId("t"),
                            budgetTokens = 800,
                            maxTokens = 100,
                            isStored = false,
                        )
                    budgets.reserve(turn).getOrNull()?.complete(usedTokens = 50)
                    handler.handle(PEER, TrimBudget(PROGRAM)).first() shouldBe Done
                }
            }
        }
    })
