package org.chestnutloom.edge.call

import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.config.Route

/**
 * The route of a request.
 *
 * @property configuration the configuration that [route] belongs to
 * @property account the account of the access key in the request, or null on routes that need no key
 */
internal class ResolvedRoute(
    val configuration: EdgeConfiguration,
    val route: Route,
    val account: AccountSettings?,
)
