package org.chestnutloom.edge.config

import kotlinx.collections.immutable.ImmutableSet
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.rate.RateLimit

/**
 * The settings of a client account.
 *
 * @property keys the valid access keys
 * @property priority the priority that overrides the route's, or null for the route's priority
 * @property limit the account's rate limit over the whole fleet, or null when it is not limited
 */
public data class AccountSettings(
    public val id: ClientAccountId,
    public val keys: ImmutableSet<String>,
    public val priority: Int?,
    public val limit: RateLimit?,
)
