package org.chestnutloom.edge.availability

import org.chestnutloom.id.TargetId

/**
 * Divides the rate that a cold target accepts among the gateways without messages.
 *
 * The gateways are ranked for each target by rendezvous hashing, and the first of them get equal shares. There are only
 * so many that the full buckets of all of them together are within the burst that a cold target tolerates. Unresponsive
 * gateways keep their shares, because they may still reach the target.
 *
 * @property isIsolated whether this gateway may have been unregistered without learning of it
 */
internal class ColdTargetAllotment(
    private val membership: RecentMembership,
    private val isIsolated: () -> Boolean,
) {
    /** Returns what this gateway may send to the cold [target], which accepts [requestsPerSecond] from all gateways. */
    fun rateFor(
        target: TargetId,
        requestsPerSecond: Double,
    ): ColdRequestRate {
        if (isIsolated()) return ColdRequestRate.NONE
        val burstRequests = BURST_REQUESTS + requestsPerSecond * BURST_SECONDS
        val maxHolders = burstRequests.toInt()
        val share = membership.recentViews().minOf { shareIn(it, target, maxHolders) }
        return ColdRequestRate(requestsPerSecond * share, burstRequests * share)
    }

    private fun shareIn(
        view: MembershipView,
        target: TargetId,
        maxHolders: Int,
    ): Double {
        val rank = view.rankFor(target) ?: return 0.0
        val holders = minOf(maxHolders, view.members.size)
        return if (rank < holders) 1.0 / holders else 0.0
    }

    private companion object {
        /**
         * A cold target tolerates 1.5 times its rate and 5 requests in any second. Half of the excess over the rate is
         * for bursts, the other half for requests that take up to a quarter of a second from the gateway to the target.
         */
        private const val BURST_REQUESTS = 5.0
        private const val BURST_SECONDS = 0.25
    }
}
