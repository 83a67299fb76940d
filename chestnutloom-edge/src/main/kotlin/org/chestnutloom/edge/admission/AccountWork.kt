package org.chestnutloom.edge.admission

import org.chestnutloom.id.ClientAccountId

/**
 * The work of each client account that waits or runs at this gateway, relative to the account's rate.
 *
 * Unlike in [org.chestnutloom.queue.FairQueue], the account with the least service doesn't always go first, because
 * slack decides among accounts that use a usual share.
 */
internal class AccountWork(
    private val ratePerSecondOf: (ClientAccountId) -> Double?,
) {
    private val workMs = HashMap<ClientAccountId, Double>()
    private var totalMs = 0.0
    private var totalRate = 0.0

    /** Returns whether [account] has more than its share of the work at this gateway. */
    fun isOverShare(account: ClientAccountId?): Boolean {
        val own = workMs[account ?: return false] ?: return false
        if (workMs.size < 2) return false
        return own / rateOf(account) > OVER_SHARE_FACTOR * totalMs / totalRate
    }

    /** Adds a request that takes [serviceMs], which waits or runs until it is removed. */
    fun add(
        account: ClientAccountId?,
        serviceMs: Double,
    ) {
        if (account == null) return
        workMs.merge(account, serviceMs, Double::plus)
        updateTotals()
    }

    /** Removes a request that [add] has added. */
    fun remove(
        account: ClientAccountId?,
        serviceMs: Double,
    ) {
        if (account == null) return
        workMs.computeIfPresent(account) { _, ms -> (ms - serviceMs).takeIf { it > ROUNDING_MS } }
        updateTotals()
    }

    private fun updateTotals() {
        totalMs = workMs.values.sum()
        totalRate = workMs.keys.sumOf(::rateOf)
    }

    private fun rateOf(account: ClientAccountId): Double = (ratePerSecondOf(account) ?: 1.0).coerceAtLeast(MIN_RATE)

    private companion object {
        /** Below this ratio to the mean of the active accounts the difference is within usual variation. */
        private const val OVER_SHARE_FACTOR = 1.5
        private const val ROUNDING_MS = 0.001
        private const val MIN_RATE = 0.1
    }
}
