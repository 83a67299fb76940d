package org.chestnutloom.gateway.control

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.rate.RateLimit

/** Looks up rate limits in the current configuration. */
internal class AccountLimits(
    private val source: SettingsSource,
) {
    /** Returns the limit of [account], or null if the configuration does not contain the account. */
    fun of(account: ClientAccountId): RateLimit? =
        source.current.value
            ?.settings
            ?.accounts
            ?.get(account)
            ?.let { RateLimit(it.ratePerSecond, it.burst) }
}
