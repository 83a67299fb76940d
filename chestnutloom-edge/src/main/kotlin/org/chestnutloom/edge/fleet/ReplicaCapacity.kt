package org.chestnutloom.edge.fleet

import org.chestnutloom.id.GatewayId

/**
 * Decides by the [processorShares] of the registered gateways which of them may enforce rate limits of accounts.
 *
 * Every request of an account waits for one of its replicas, so gateways with less than half of the largest share are
 * left out, unless fewer than a full set of replicas would remain.
 */
internal class ReplicaCapacity(
    private val processorShares: Map<GatewayId, Double>,
) {
    private val largestShare = processorShares.values.maxOrNull() ?: 0.0

    /** Whether the gateways differ in their processor share by a factor of two or more. */
    val isUneven: Boolean = processorShares.values.any { it * UNEVEN_FACTOR <= largestShare }

    /** The gateways that may enforce rate limits. */
    val eligible: Set<GatewayId> =
        processorShares
            .filterValues { it * UNEVEN_FACTOR >= largestShare }
            .keys
            .takeIf { it.size >= FleetTopology.ACCOUNT_REPLICAS } ?: processorShares.keys

    private companion object {
        private const val UNEVEN_FACTOR = 2.0
    }
}
