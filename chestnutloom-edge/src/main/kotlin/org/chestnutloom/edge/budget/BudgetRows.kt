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
import org.chestnutloom.id.ProgramId
import org.chestnutloom.store.StoreFailure

/** Reads and writes the budgets of programs in the platform's store, one row each. */
public class BudgetRows(
    private val store: RowStore,
) {
    private val codec = CborCodec(BudgetRow.serializer())

    /** Reads the row of [program] into [budget], and returns the failure, or null on success. */
    internal suspend fun read(
        program: ProgramId,
        budget: ProgramBudget,
    ): ChangeFailure.Failed? {
        val snapshot = store.read(TABLE_NAME, program.value).getOrElse { return ChangeFailure.Failed(it) }
        return apply(program, budget, snapshot.rows)
    }

    /**
     * Writes [claim] of this gateway, unless the row has changed since it was applied to [budget]. Returns the failure, or null
     * on success. After a conflict the current row has been applied.
     */
    internal suspend fun write(
        program: ProgramId,
        budget: ProgramBudget,
        claim: BudgetClaim,
    ): ChangeFailure? {
        val key = keyOf(program)
        val spentUnstoredTokens = budget.beginWrite(claim)
        val change =
            RowChange(
                conditions = listOf(RowCondition(key, budget.rowVersion)),
                puts = listOf(RowPut(key, codec.encode(budget.rowWith(claim)))),
            )
        val version =
            store.change(change).getOrElse { failure ->
                if (failure !is ChangeFailure.Conflict) return failure
                return apply(program, budget, failure.current) ?: failure
            }
        budget.acknowledge(claim, spentUnstoredTokens, version)
        return null
    }

    /** Applies the row among [current], and returns the failure if it cannot be decoded, or null on success. */
    private fun apply(
        program: ProgramId,
        budget: ProgramBudget,
        current: List<StoredRow>,
    ): ChangeFailure.Failed? {
        val row = current.firstOrNull { it.key == keyOf(program) }
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

    private fun keyOf(program: ProgramId): RowKey = RowKey(TABLE_NAME, program.value, ROW_NAME)

    private companion object {
        private const val TABLE_NAME = "programs"
        private const val ROW_NAME = "budget"
    }
}
