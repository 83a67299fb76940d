package org.chestnutloom.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.runTest

/**
 * A table service that loses the replies of its next transactions.
 *
 * Each function in [beforeLoss] determines what happens to one of these transactions before its reply is lost.
 */
private class LossyStore : TableStore {
    val rows = mutableMapOf<String, Row>()
    val beforeLoss = ArrayDeque<(Transaction) -> Unit>()
    private var counter = 10L

    fun put(
        key: String,
        value: String,
    ) {
        rows[key] = Row(key, ++counter, value)
    }

    fun apply(transaction: Transaction): Either<StoreFailure, List<Row>> {
        val failed = transaction.conditions.filter { (rows[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) return StoreFailure.Conflict(failed, failed.mapNotNull { rows[it] }).left()
        transaction.writes.forEach { write -> write.value?.let { put(write.key, it) } ?: rows.remove(write.key) }
        return transaction.writes.mapNotNull { rows[it.key] }.right()
    }

    override suspend fun read(keys: List<String>) = keys.mapNotNull { rows[it] }.right()

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ) = RowPage(emptyList(), false).right()

    override suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>> {
        val loss = beforeLoss.removeFirstOrNull() ?: return apply(transaction)
        loss(transaction)
        return StoreFailure.OutcomeUnknown("lost").left()
    }
}

class TransactAndResolveSpec :
    DescribeSpec({
        val transaction =
            Transaction(
                listOf(Condition("head", 1), Condition("v1", 0)),
                listOf(RowWrite("head", "ours"), RowWrite("v1", "ours")),
            )

        fun store(vararg losses: LossyStore.(Transaction) -> Unit) =
            LossyStore().apply {
                rows["head"] = Row("head", 1, "old")
                losses.forEach { loss -> beforeLoss += { loss(it) } }
            }

        describe("a transaction whose reply is lost") {
            it("succeeds if it took effect") {
                runTest {
                    val result = store({ apply(it) }).transactAndResolve(transaction)
                    result.getOrNull()?.map { it.value } shouldBe listOf("ours", "ours")
                }
            }

            it("is retried if it did not take effect, and takes effect once if the first attempt is delayed") {
                runTest {
                    store({}).transactAndResolve(transaction).isRight() shouldBe true
                    val late = store({}, { apply(it) })
                    late.transactAndResolve(transaction).isRight() shouldBe true
                    late.rows.getValue("head").version shouldBe 11
                }
            }

            it("is reported as a conflict if another writer came first, as shown by the marker row") {
                runTest {
                    val result = store({ put("head", "theirs") }).transactAndResolve(transaction, markerKey = "v1")
                    result.leftOrNull().shouldBeInstanceOf<StoreFailure.Conflict>().failedKeys shouldBe listOf("head")
                }
            }

            it("succeeds if it was overwritten later, as shown by the marker row") {
                runTest {
                    val losing: LossyStore.(Transaction) -> Unit = {
                        apply(it)
                        put("head", "theirs")
                    }
                    store(losing).transactAndResolve(transaction, markerKey = "v1").isRight() shouldBe true
                }
            }

            it("has an unknown outcome if it may have been overwritten and has no marker row") {
                runTest {
                    val single = transaction.copy(writes = transaction.writes.take(1))
                    val result = store({ put("head", "theirs") }).transactAndResolve(single)
                    result.leftOrNull().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                }
            }
        }
    })
