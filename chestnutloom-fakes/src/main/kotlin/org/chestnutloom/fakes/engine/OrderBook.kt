package org.chestnutloom.fakes.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Obeys orders; it refuses those with an old fencing number only if it verifies them. */
internal class OrderBook(
    private val verifies: Boolean,
    models: Set<String>,
) {
    private val lock = Any()
    private val servesAnyModel = models.isEmpty()
    private val models = models.toMutableSet()
    private val adapters = mutableSetOf<String>()
    private val obeyed = mutableListOf<Order>()
    private var role: String? = null
    private var highestFencing = 0L

    fun serves(model: String): Boolean = synchronized(lock) { servesAnyModel || model in models }

    fun obey(order: Order): Either<StaleOrder, Unit> =
        synchronized(lock) {
            if (verifies && order.fencing < highestFencing) return StaleOrder(highestFencing).left()
            highestFencing = maxOf(highestFencing, order.fencing)
            carryOut(order)
            obeyed += order
            Unit.right()
        }

    fun view(): OrderView =
        synchronized(lock) { OrderView(highestFencing, models.toSet(), adapters.toSet(), role, obeyed.toList()) }

    private fun carryOut(order: Order) {
        when (order.kind) {
            OrderKind.LOAD_MODEL -> models += order.argument
            OrderKind.LOAD_ADAPTER -> adapters += order.argument
            OrderKind.SET_ROLE -> role = order.argument
        }
    }
}
