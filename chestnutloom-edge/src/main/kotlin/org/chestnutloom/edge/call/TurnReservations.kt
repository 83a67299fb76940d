package org.chestnutloom.edge.call

import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.store.storeUnavailable
import org.chestnutloom.time.Clock

/**
 * Reserves the tokens of calls that have got a slot.
 *
 * A call that waits for a slot, or is refused before it gets one, reserves nothing: if its gateway fails, other gateways can't
 * tell a reservation for a call that was never sent from one for a call that ran.
 */
internal class TurnReservations(
    private val budgets: BudgetAllocator,
    private val clock: Clock,
) {
    /** Returns whether [call] still has to reserve tokens. */
    fun isDue(call: RoutedCall): Boolean = call.tokens != null && call.reservation == null

    /** Reserves the tokens of [call], and returns the refusal, or null on success. */
    suspend fun reserve(call: RoutedCall): Refusal? {
        val tokens = call.tokens ?: return null
        val result =
            withTimeoutOrNull(call.deadline - clock.elapsed()) { budgets.reserve(tokens) }
                ?: return storeUnavailable("The budget could not be reserved in time.")
        call.reservation = result.getOrNull()
        return result.leftOrNull()
    }
}
