package org.chestnutloom.edge.call

import arrow.core.getOrElse
import arrow.core.raise.Raise
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.budget.Reservation
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.config.Destination
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.config.Route
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.http.CallerExchange
import org.chestnutloom.edge.http.CallerHandler
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.quota.AccountAdmission
import org.chestnutloom.edge.store.StoreLimits
import org.chestnutloom.edge.store.storeUnavailable
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.edge.turn.TurnFailure
import org.chestnutloom.edge.turn.TurnRecord
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.time.Clock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Handles callers' requests: selects the route, checks quotas and budgets, and dispatches to a target. */
internal class CallService(
    private val configurations: ConfigurationHolder,
    private val codec: CallCodec,
    private val admission: AccountAdmission,
    private val budgets: BudgetAllocator,
    private val turns: TurnStore,
    private val dispatcher: CallDispatcher,
    private val quarantine: RequestQuarantine,
    private val metrics: CallMetrics,
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
    private val shutdownDeadline: ShutdownDeadline,
) : CallerHandler {
    override suspend fun handle(
        request: CallerRequest,
        exchange: CallerExchange,
    ) {
        val context = RequestLogContext(clock.elapsed())
        try {
            either { serve(request, exchange, context) }
                .onLeft { refuse(it, exchange, context) }
                .onRight { isComplete -> recordAnswer(isComplete, context) }
        } catch (e: CancellationException) {
            context.outcome = "caller_left"
            throw e
        } finally {
            context.ending = exchange.ending
            context.call?.reservation?.complete(usedTokens = 0)
            refundUnusedQuota(context)
            releaseUnstartedProgram(context)
            metrics.record(context, clock.elapsed() - context.startedAt)
            log(request, context)
        }
    }

    /** Serves [request] and returns whether its response is complete. */
    private suspend fun Raise<Refusal>.serve(
        request: CallerRequest,
        exchange: CallerExchange,
        context: RequestLogContext,
    ): Boolean {
        val head = codec.head(request)
        context.head = head
        val configuration = configurations.awaitCurrent() ?: raise(stale("No configuration has been read yet."))
        context.configurationVersion = configuration.version
        val route = resolveRoute(configuration, request)
        context.route = route
        val account = authenticate(configuration, route, head)
        context.account = account
        val call = buildCall(configuration, route, account, request, exchange, head)
        context.call = call
        if (quarantine.hasCrashes) quarantine.remainingQuarantine(call.fingerprint)?.let { raise(quarantined(it)) }
        account?.let { admit(it, call, context) }
        val response = dispatcher.dispatch(call).bind()
        context.status = response.status
        return response.isComplete && completeTurn(call, response.turn)
    }

    private fun recordAnswer(
        isComplete: Boolean,
        context: RequestLogContext,
    ) {
        context.outcome = if (isComplete) "answered" else "broken_off"
        if (isComplete) return
        val end = context.call?.bodyEnd
        context.detail = if (end is BodyEnd.Broken) end.cause else "turn was not saved in time"
    }

    /** Ends the response to a turn once [turn] is durable; returns false if that fails while the caller waits. */
    private suspend fun completeTurn(
        call: RoutedCall,
        turn: TurnRecord?,
    ): Boolean {
        if (turn == null) return true
        val isSaved = turns.save(turn, until = call.callerDeadline)
        if (isSaved) call.exchange.finish() else call.exchange.abort()
        return isSaved
    }

    private fun Raise<Refusal>.resolveRoute(
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
        if (configuration.accounts == null) return null
        head.accessKey?.let(configuration::accountOf)?.let { return it }
        if (route.isPublic) return null
        if (!configurations.isFresh) raise(stale("The access key is unknown, and the configuration may be outdated."))
        raise(Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "The access key is missing or not valid."))
    }

    private suspend fun Raise<Refusal>.admit(
        account: AccountSettings,
        call: RoutedCall,
        context: RequestLogContext,
    ) {
        val maxWait = minOf(call.callerTimeout / RATE_LIMIT_WAIT_DIVISOR, MAX_RATE_LIMIT_WAIT)
        context.quotaGrant = admission.admit(account, call.startsProgram, maxWait).bind()
    }

    /** Refunds the quota of a request that no target ran. */
    private fun refundUnusedQuota(context: RequestLogContext) {
        if (context.runs == 0) context.quotaGrant?.refund()
    }

    /** Releases the budget claim of a program that did not start, so that all gateways see it as not started. */
    private fun releaseUnstartedProgram(context: RequestLogContext) {
        val program = context.head?.program ?: return
        val isUnstarted = context.call?.startsProgram == true && context.runs == 0
        if (isUnstarted) scope.launch { budgets.trim(program) }
    }

    private suspend fun Raise<Refusal>.buildCall(
        configuration: EdgeConfiguration,
        route: Route,
        account: AccountSettings?,
        request: CallerRequest,
        exchange: CallerExchange,
        head: CallHead,
    ): RoutedCall {
        val id = head.id ?: raise(badRequest("The request has no id."))
        if (route.isRetained && !StoreLimits.allowsName(id.value)) raise(badRequest("The request's id is too long."))
        val service =
            configuration.services[pickDestination(route).service]
                ?: raise(Refusal(RefusalCode.UNKNOWN_SERVICE, Execution.NOT_RUN, "The service is not configured."))
        val callerDeadline = request.receivedAt + (head.callerTimeout ?: route.timeout)
        if (shutdownDeadline.isBefore(callerDeadline)) raise(stopping())
        val chain = loadChain(route, account, head)
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
            body = chain?.requestBody(request.body) ?: request.body,
            chain = chain,
            reservation = reserveTokens(route, head),
        )
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
        // Its response could not complete; the caller does better to return than to wait for an end that does not come.
        if (!turns.canSave) raise(storeUnavailable("The turn cannot be saved because the store is unavailable."))
        val previous = head.previousTurn ?: return TurnChain(emptyList())
        return turns.chain(previous, account?.id).getOrElse { raise(refusalOf(it)) }
    }

    private fun refusalOf(failure: TurnFailure): Refusal =
        when (failure) {
            is TurnFailure.NotFound -> Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "The turn does not exist.")
            is TurnFailure.StoreUnavailable -> storeUnavailable("The turn cannot be read from the store.")
        }

    private suspend fun Raise<Refusal>.reserveTokens(
        route: Route,
        head: CallHead,
    ): Reservation? {
        if (route.kind != RouteKind.STREAMING) return null
        val program = head.program ?: return null
        val budgetTokens = head.tokenBudget ?: return null
        if (!StoreLimits.allowsName(program.value)) raise(badRequest("The program's id is too long."))
        return budgets.reserve(program, budgetTokens, head.maxOutputTokens).bind()
    }

    private fun badRequest(detail: String): Refusal = Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, detail)

    private fun quarantined(remaining: Duration): Refusal =
        Refusal(
            RefusalCode.QUARANTINED,
            Execution.NOT_RUN,
            "Earlier attempts of this request crashed targets.",
            remaining.inWholeMilliseconds,
        )

    /** Refuses a call that might still be running when this gateway exits, so that the caller uses another gateway. */
    private fun stopping(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "The gateway is shutting down.", STOPPING_RETRY_MS)

    private fun stale(detail: String): Refusal =
        Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, detail, STALE_RETRY_MS)

    private fun refuse(
        refusal: Refusal,
        exchange: CallerExchange,
        context: RequestLogContext,
    ) {
        context.outcome = refusal.code.wireName
        context.detail = refusal.detail
        context.status = codec.statusOf(refusal)
        if (exchange.isStarted) return exchange.abort()
        exchange.respond(codec.statusOf(refusal), codec.refusalHeaders(refusal, context.head?.id), EMPTY_BODY)
    }

    private fun log(
        request: CallerRequest,
        context: RequestLogContext,
    ) {
        logger.event(
            "request",
            "call" to (context.head?.id ?: "none"),
            "path" to request.path,
            "route" to (context.route?.name ?: "none"),
            "account" to (context.account?.id ?: "none"),
            "program" to (context.head?.program ?: "none"),
            "previous" to (context.head?.previousTurn ?: "none"),
            "configuration" to context.configurationVersion,
            "target" to (context.call?.lastTarget ?: "none"),
            "runs" to context.runs,
            "status" to context.status,
            "outcome" to context.outcome,
            "detail" to context.detail,
            "ending" to context.ending.name.lowercase(),
            "framing" to labelOf(context.framing),
            "content" to labelOf(context.content),
            "evidence" to labelOf(context.evidence),
            "took_ms" to (clock.elapsed() - context.startedAt).inWholeMilliseconds,
        )
    }

    private fun labelOf(value: Enum<*>?): String = value?.name?.lowercase() ?: "none"

    private companion object {
        /** A request over its account's rate waits for at most the caller's timeout divided by this number. */
        private const val RATE_LIMIT_WAIT_DIVISOR = 4
        private val MAX_RATE_LIMIT_WAIT = 1.seconds
        private const val STOPPING_RETRY_MS = 20L
        private const val STALE_RETRY_MS = 500L
        private val EMPTY_BODY = ByteArray(0)
    }
}
