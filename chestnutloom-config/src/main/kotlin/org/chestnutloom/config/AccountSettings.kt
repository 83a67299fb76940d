package org.chestnutloom.config

/**
 * What one client account may use.
 *
 * @property ratePerSecond requests a second, over the whole fleet
 * @property burst requests that may come at once, over the whole fleet
 * @property weight the account's share of busy targets relative to other accounts, at least 1
 */
public data class AccountSettings(
    public val ratePerSecond: Double,
    public val burst: Int,
    public val weight: Int,
)
