package org.chestnutloom.fakes.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Executes orders. Refuses orders with a stale fencing token if [verifiesOrders] is set. */
internal class OrderExecutor(
    private val verifiesOrders: Boolean,
    models: Set<String>,
) {
    private val lock = Any()
    private val servesAnyModel = models.isEmpty()
    private val models = models.toMutableSet()
    private val adapters = mutableSetOf<String>()
    private val executed = mutableListOf<Order>()
    private var role: String? = null
    private var highestFencing = 0L

    fun serves(model: String): Boolean = synchronized(lock) { servesAnyModel || model in models }

    fun execute(order: Order): Either<StaleOrder, Unit> =
        synchronized(lock) {
            if (verifiesOrders && order.fencing < highestFencing) return StaleOrder(highestFencing).left()
            highestFencing = maxOf(highestFencing, order.fencing)
            apply(order)
            executed += order
            Unit.right()
        }

    fun view(): OrderView =
        synchronized(lock) { OrderView(highestFencing, models.toSet(), adapters.toSet(), role, executed.toList()) }

    private fun apply(order: Order) {
        when (order.kind) {
            OrderKind.LOAD_MODEL -> models += order.argument
            OrderKind.LOAD_ADAPTER -> adapters += order.argument
            OrderKind.SET_ROLE -> role = order.argument
        }
    }
}
