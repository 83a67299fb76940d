package org.chestnutloom.edge.budget

import org.chestnutloom.edge.store.StoreLimits
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId

/**
 * Identifies the budget of a program.
 *
 * @property account the client account of the program, as each account chooses the ids of its own programs; null on routes
 *   without accounts
 */
public data class BudgetKey(
    public val program: ProgramId,
    public val account: ClientAccountId?,
) {
    /** The partition of the budget's row in the store. */
    internal val partition: String
        get() = program.value

    /** The key of the budget's row in its partition. */
    internal val rowName: String
        get() = if (account == null) ROW_NAME else "$ROW_NAME/${account.value}"

    /** Whether the names are short enough for the store. */
    internal val isStorable: Boolean
        get() = StoreLimits.allowsName(partition) && StoreLimits.allowsName(rowName)

    private companion object {
        private const val ROW_NAME = "budget"
    }
}
