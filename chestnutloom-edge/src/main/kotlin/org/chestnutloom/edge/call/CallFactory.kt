package org.chestnutloom.edge.call

import arrow.core.getOrElse
import arrow.core.raise.Raise
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.budget.BudgetKey
import org.chestnutloom.edge.budget.Reservation
import org.chestnutloom.edge.budget.TurnTokens
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.Destination
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.http.CallerExchange
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.http.RequestBody
import org.chestnutloom.edge.store.StoreLimits
import org.chestnutloom.edge.store.storeUnavailable
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.edge.turn.TurnFailure
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.id.CallId
import kotlin.random.Random

/** Builds calls: selects the service, loads the chain of a turn, and reserves the tokens of one that is not stored. */
internal class CallFactory(
    private val budgets: BudgetAllocator,
    private val turns: TurnStore,
    private val random: Random,
    private val shutdownDeadline: ShutdownDeadline,
) {
    /** Returns the call of [request] on the route of [resolved], or refuses it as not run. */
    suspend fun Raise<Refusal>.create(
        resolved: ResolvedRoute,
        request: CallerRequest,
        exchange: CallerExchange,
        head: CallHead,
    ): RoutedCall {
        val route = resolved.route
        val account = resolved.account
        val id = head.id ?: raise(badRequest("The request has no id."))
        if (route.isRetained && !StoreLimits.allowsName(id.value)) raise(badRequest("The request's id is too long."))
        val service =
            resolved.configuration.services[pickDestination(route).service]
                ?: raise(Refusal(RefusalCode.UNKNOWN_SERVICE, Execution.NOT_RUN, "The service is not configured."))
        val callerDeadline = request.receivedAt + (head.callerTimeout ?: route.timeout)
        if (shutdownDeadline.isBefore(callerDeadline)) raise(stopping())
        val tokens = tokensOf(id, route, head, account)
        val chain = loadChain(route, account, head)
        val reservation = releasingOnFailure(chain) { tokens?.let { reserveOrCheck(it) } }
        return RoutedCall(
            id = id,
            request = request,
            exchange = exchange,
            head = head,
            route = route,
            service = service,
            account = account,
            deadline = minOf(callerDeadline, request.receivedAt + route.timeout),
            callerDeadline = callerDeadline,
            body = chain?.requestBody(request.body) ?: RequestBody(listOf(request.body)),
            chain = chain,
            tokens = tokens,
            startsProgram = reservation?.startsProgram ?: (tokens != null && startsProgram(tokens, head)),
        ).also { it.reservation = reservation }
    }

    /** Returns the result of [block], or releases [chain], which then belongs to no call. */
    private inline fun <T> releasingOnFailure(
        chain: TurnChain?,
        block: () -> T,
    ): T {
        var isDone = false
        try {
            return block().also { isDone = true }
        } finally {
            if (!isDone) chain?.release()
        }
    }

    private fun pickDestination(route: Route): Destination {
        val total = route.destinations.sumOf { it.weight }
        if (total <= 0) return route.destinations.first()
        var remainingWeight = random.nextInt(total)
        return route.destinations.first {
            remainingWeight -= it.weight
            remainingWeight < 0
        }
    }

    private suspend fun Raise<Refusal>.loadChain(
        route: Route,
        account: AccountSettings?,
        head: CallHead,
    ): TurnChain? {
        if (!route.isRetained) return null
        // The turn could not be saved at its end, so it is refused before it runs.
        if (!turns.canSave) raise(storeUnavailable("The turn cannot be saved because the store is unavailable."))
        val previous = head.previousTurn ?: return turns.emptyChain()
        return turns.chain(previous, account?.id).getOrElse { raise(refusalOf(it)) }
    }

    private fun refusalOf(failure: TurnFailure): Refusal =
        when (failure) {
            is TurnFailure.NotFound -> Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "The turn does not exist.")
            is TurnFailure.StoreUnavailable -> storeUnavailable("The turn cannot be read from the store.")
            is TurnFailure.TooLarge ->
                Refusal(RefusalCode.BODY_TOO_LARGE, Execution.NOT_RUN, "The turns before this one are too large.")
            is TurnFailure.NoMemory ->
                Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "No memory is free for the turns.", MEMORY_RETRY_MS)
        }

    private fun Raise<Refusal>.tokensOf(
        id: CallId,
        route: Route,
        head: CallHead,
        account: AccountSettings?,
    ): TurnTokens? {
        if (route.kind != RouteKind.STREAMING) return null
        val program = head.program ?: return null
        val budgetTokens = head.tokenBudget ?: return null
        val key = BudgetKey(program, account?.id)
        if (!key.isStorable) raise(badRequest("The program's id is too long."))
        return TurnTokens(key, id, budgetTokens, head.maxOutputTokens, route.isRetained)
    }

    /**
     * Reserves [tokens] of a turn that will not be stored. Those of a stored turn are reserved when it is sent to a target;
     * here it is refused if it can be known already that none are left.
     */
    private suspend fun Raise<Refusal>.reserveOrCheck(tokens: TurnTokens): Reservation? {
        if (!tokens.isStored) return budgets.reserve(tokens).bind()
        budgets.check(tokens)?.let { raise(it) }
        return null
    }

    /** Returns whether a turn that will be stored is the first one of its program, as far as this gateway knows. */
    private fun startsProgram(
        tokens: TurnTokens,
        head: CallHead,
    ): Boolean = head.previousTurn == null && budgets.isUnused(tokens.key)

    private fun badRequest(detail: String): Refusal = Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, detail)

    /** Refuses a call that might still be running when this gateway exits, so that the caller uses another gateway. */
    private fun stopping(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "The gateway is shutting down.", STOPPING_RETRY_MS)

    private companion object {
        private const val STOPPING_RETRY_MS = 20L
        private const val MEMORY_RETRY_MS = 500L
    }
}
