package org.chestnutloom.edge.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import org.chestnutloom.id.ClientAccountId

/**
 * One version of the operators' configuration.
 *
 * @property version increases with each change
 * @property services by name
 * @property accounts the client accounts, or null when requests need no access key
 */
public class EdgeConfiguration(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<String, Service>,
    public val limits: RequestLimits,
    public val accounts: ImmutableList<AccountSettings>?,
) {
    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }

    private val accountsByKey =
        accounts.orEmpty().flatMap { account -> account.keys.map { it to account } }.toMap()

    /** The client accounts by id. */
    public val accountsById: Map<ClientAccountId, AccountSettings> = accounts.orEmpty().associateBy { it.id }

    /** Returns the route of [host] with the longest prefix of [path], or null when no route matches. */
    public fun routeOf(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the client account with the access key [key], or null when no account has it. */
    public fun accountOf(key: String): AccountSettings? = accountsByKey[key]
}
