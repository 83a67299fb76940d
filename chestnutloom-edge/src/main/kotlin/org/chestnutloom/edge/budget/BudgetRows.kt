package org.chestnutloom.edge.budget

import arrow.core.getOrElse
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowCondition
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.store.StoreFailure

/** Reads and writes the budgets of programs in the platform's store, one row each. */
public class BudgetRows(
    private val store: RowStore,
) {
    private val codec = CborCodec(BudgetRow.serializer())

    /** Reads the row of [key] into [budget], and returns the failure, or null on success. */
    internal suspend fun read(
        key: BudgetKey,
        budget: ProgramBudget,
    ): ChangeFailure.Failed? {
        val snapshot = store.read(TABLE_NAME, key.partition).getOrElse { return ChangeFailure.Failed(it) }
        return apply(key, budget, snapshot.rows)
    }

    /**
     * Writes [claim] of this gateway, unless the row has changed since it was applied to [budget]. Returns the failure, or null
     * on success. After a conflict the current row has been applied.
     */
    internal suspend fun write(
        key: BudgetKey,
        budget: ProgramBudget,
        claim: BudgetClaim,
    ): ChangeFailure? {
        val rowKey = rowKeyOf(key)
        val spentUnstoredTokens = budget.beginWrite(claim)
        val change =
            RowChange(
                conditions = listOf(RowCondition(rowKey, budget.rowVersion)),
                puts = listOf(RowPut(rowKey, codec.encode(budget.rowWith(claim)))),
            )
        val version =
            store.change(change).getOrElse { failure ->
                if (failure !is ChangeFailure.Conflict) return failure
                return apply(key, budget, failure.current) ?: failure
            }
        budget.acknowledge(claim, spentUnstoredTokens, version)
        return null
    }

    /** Applies the row among [current], and returns the failure if it cannot be decoded, or null on success. */
    private fun apply(
        key: BudgetKey,
        budget: ProgramBudget,
        current: List<StoredRow>,
    ): ChangeFailure.Failed? {
        val row = current.firstOrNull { it.key == rowKeyOf(key) }
        val value = row?.value
        if (value == null) {
            budget.apply(row = null, version = 0)
            return null
        }
        val decoded =
            codec.decode(value).getOrElse {
                return ChangeFailure.Failed(StoreFailure.Malformed("the budget is malformed: ${it.detail}"))
            }
        budget.apply(decoded, row.version)
        return null
    }

    private fun rowKeyOf(key: BudgetKey): RowKey = RowKey(TABLE_NAME, key.partition, key.rowName)

    private companion object {
        private const val TABLE_NAME = "programs"
    }
}
