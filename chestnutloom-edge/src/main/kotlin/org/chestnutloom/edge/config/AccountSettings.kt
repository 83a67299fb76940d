package org.chestnutloom.edge.config

import kotlinx.collections.immutable.ImmutableSet
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.rate.RateLimit

/**
 * One client account.
 *
 * @property keys the access keys that are in force
 * @property priority the account's rank, which goes before the route's, or null when it has none
 * @property limit what the account may send over the whole fleet, or null when it is not limited
 */
public data class AccountSettings(
    public val id: ClientAccountId,
    public val keys: ImmutableSet<String>,
    public val priority: Int?,
    public val limit: RateLimit?,
)
