package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** The incarnations of gateways that were registered and are not any more; confined to the event loop. */
internal class DepartedIncarnations(
    private val clock: Clock,
) {
    private val startedAt = clock.elapsed()

    /** In the order of the departures. */
    private val departedAt = LinkedHashMap<Departed, Duration>()

    /** Records that [incarnation] of [gateway] is not registered any more. */
    fun add(
        gateway: GatewayId,
        incarnation: Incarnation,
    ) {
        departedAt[Departed(gateway, incarnation)] = clock.elapsed()
        if (departedAt.size > MAX_KEPT) departedAt.remove(departedAt.keys.first())
    }

    /** Returns for how long [incarnation] of [gateway], which is not registered, is known to be gone. */
    fun goneFor(
        gateway: GatewayId,
        incarnation: Incarnation,
    ): Duration = clock.elapsed() - (departedAt[Departed(gateway, incarnation)] ?: startedAt)

    private data class Departed(
        val gateway: GatewayId,
        val incarnation: Incarnation,
    )

    private companion object {
        private const val MAX_KEPT = 512
    }
}
