package org.chestnutloom.edge.call

import arrow.core.raise.Raise
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.config.ConfigurationRefresher
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.http.CallerRequest

/** Finds the route and the client account of requests. */
internal class RouteResolver(
    private val configurations: ConfigurationHolder,
    private val refresher: ConfigurationRefresher,
) {
    /** Returns the configuration, route and account of [request], and notes them in [context], or refuses it as not run. */
    suspend fun Raise<Refusal>.resolve(
        request: CallerRequest,
        head: CallHead,
        context: RequestLogContext,
    ): ResolvedRoute {
        val configuration = currentFor(request, head)
        context.configurationVersion = configuration.version
        context.configurationAge = configurations.age
        val route = routeOf(configuration, request)
        context.route = route
        val account = authenticate(configuration, route, head)
        context.account = account
        return ResolvedRoute(configuration, route, account)
    }

    /**
     * Returns the configuration that decides about [request].
     *
     * A request that continues a turn shows that some configuration has a route that retains turns for it. If the current one
     * has none, it may be outdated and is read again: it must neither run the turn without those before it nor refuse it for
     * good.
     */
    private suspend fun Raise<Refusal>.currentFor(
        request: CallerRequest,
        head: CallHead,
    ): EdgeConfiguration {
        val current = configurations.awaitCurrent() ?: raise(stale("No configuration has been read yet."))
        if (head.previousTurn == null || canContinueTurn(current, request, head)) return current
        if (!refresher.refresh()) raise(stale("The turn's route is unknown, and the configuration may be outdated."))
        return configurations.current ?: current
    }

    private fun canContinueTurn(
        configuration: EdgeConfiguration,
        request: CallerRequest,
        head: CallHead,
    ): Boolean {
        val route = configuration.routeOf(request.host, request.path) ?: return false
        return route.isRetained && (!needsKey(configuration, route) || accountOf(configuration, head) != null)
    }

    private fun Raise<Refusal>.routeOf(
        configuration: EdgeConfiguration,
        request: CallerRequest,
    ): Route {
        configuration.routeOf(request.host, request.path)?.let { return it }
        if (!configurations.isFresh) raise(stale("No route matches, and the configuration may be outdated."))
        raise(Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "No route matches."))
    }

    private fun Raise<Refusal>.authenticate(
        configuration: EdgeConfiguration,
        route: Route,
        head: CallHead,
    ): AccountSettings? {
        accountOf(configuration, head)?.let { return it }
        if (!needsKey(configuration, route)) return null
        if (!configurations.isFresh) raise(stale("The access key is unknown, and the configuration may be outdated."))
        raise(Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "The access key is missing or not valid."))
    }

    private fun needsKey(
        configuration: EdgeConfiguration,
        route: Route,
    ): Boolean = configuration.accounts != null && !route.isPublic

    private fun accountOf(
        configuration: EdgeConfiguration,
        head: CallHead,
    ): AccountSettings? = if (configuration.accounts == null) null else head.accessKey?.let(configuration::accountOf)

    private fun stale(detail: String): Refusal =
        Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, detail, STALE_RETRY_MS)

    private companion object {
        private const val STALE_RETRY_MS = 500L
    }
}
