package org.chestnutloom.edge.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import org.chestnutloom.id.ClientAccountId

/**
 * One version of what operators have set.
 *
 * @property version grows with each change
 * @property services by name
 * @property accounts null when requests need no key
 */
public class EdgeConfiguration(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<String, Service>,
    public val limits: RequestLimits,
    public val accounts: ImmutableList<AccountSettings>?,
) {
    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, of) -> of.sortedByDescending { it.pathPrefix.length } }

    private val accountsByKey =
        accounts.orEmpty().flatMap { account -> account.keys.map { it to account } }.toMap()

    /** The client accounts by their id. */
    public val accountsById: Map<ClientAccountId, AccountSettings> = accounts.orEmpty().associateBy { it.id }

    /** Returns the route of [host] with the longest prefix that begins [path], or null without one. */
    public fun routeOf(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the client account that holds [key], or null when none does. */
    public fun accountOf(key: String): AccountSettings? = accountsByKey[key]
}
