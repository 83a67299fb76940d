package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.id.CallId
import org.chestnutloom.store.StoreFailure
import kotlin.random.Random

private val TURN = CallId("t")

/** Delegates to [store], but fails every change after the first [remaining] ones. */
private class FailingRowStore(
    private val store: RowStore,
    private var remaining: Int,
) : RowStore by store {
    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> =
        if (remaining-- > 0) store.change(change) else ChangeFailure.Failed(StoreFailure.Unavailable("down")).left()
}

class TurnRowsSpec :
    DescribeSpec({
        val random = Random(1)

        describe("a turn of any size up to the largest request and response") {
            // Guards against turns above the store's call size, which were answered whole and never written.
            listOf(1, 48_896, 48_897, 780_000, 900_000, 1_201_939, 4_194_304, 8_388_608).forEach { sizeBytes ->
                it("is read as it was written at $sizeBytes bytes") {
                    val rows = TurnRows(InMemoryRowStore(), rowBytes = 65_536)
                    val bytes = random.nextBytes(sizeBytes)
                    rows.write(TURN, bytes).isRight() shouldBe true
                    rows.read(TURN).getOrNull() shouldBe bytes
                }
            }
        }

        describe("a turn of which only some changes were written") {
            it("does not exist until the last one, and exists after a second attempt") {
                val store = InMemoryRowStore()
                val bytes = random.nextBytes(3_000_000)
                for (written in 0..4) {
                    TurnRows(FailingRowStore(store, written), rowBytes = 65_536).write(TURN, bytes).isLeft() shouldBe
                        true
                    TurnRows(store, rowBytes = 65_536).read(TURN).getOrNull().shouldBeNull()
                }
                TurnRows(store, rowBytes = 65_536).write(TURN, bytes).isRight() shouldBe true
                TurnRows(store, rowBytes = 65_536).read(TURN).getOrNull() shouldBe bytes
            }
        }

        describe("a turn whose id is longer than the store allows") {
            it("does not exist, and the store is not asked for it") {
                val store = InMemoryRowStore()
                TurnRows(store, rowBytes = 65_536).read(CallId("x".repeat(201))).getOrNull().shouldBeNull()
                store.calls shouldBe 0
            }
        }
    })
