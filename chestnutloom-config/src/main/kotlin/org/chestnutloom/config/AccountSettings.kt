package org.chestnutloom.config

/**
 * Limits of one client account.
 *
 * @property ratePerSecond sustained request rate, summed over all gateways
 * @property burst requests that may arrive at once, summed over all gateways
 * @property weight the account's share of busy targets relative to other accounts, at least 1
 */
public data class AccountSettings(
    public val ratePerSecond: Double,
    public val burst: Int,
    public val weight: Int,
)
