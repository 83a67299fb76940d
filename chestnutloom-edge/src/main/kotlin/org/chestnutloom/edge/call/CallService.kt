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
import org.chestnutloom.edge.budget.BudgetKeeper
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
import org.chestnutloom.edge.quota.AccountQuotas
import org.chestnutloom.edge.store.storeAway
import org.chestnutloom.edge.turn.TurnChain
import org.chestnutloom.edge.turn.TurnFailure
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.time.Clock
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Answers callers' requests: finds the route, admits, and has a target answer. */
internal class CallService(
    private val configurations: ConfigurationHolder,
    private val codec: CallCodec,
    private val quotas: AccountQuotas,
    private val budgets: BudgetKeeper,
    private val turns: TurnStore,
    private val dispatcher: CallDispatcher,
    private val crashes: RequestQuarantine,
    private val metrics: CallMetrics,
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
    private val stopDeadline: StopDeadline,
) : CallerHandler {
    override suspend fun handle(
        request: CallerRequest,
        exchange: CallerExchange,
    ) {
        val trace = RequestLogContext(clock.elapsed())
        try {
            either { serve(request, exchange, trace) }
                .onLeft { refuse(it, exchange, trace) }
                .onRight { trace.outcome = if (it.isWhole) "answered" else "broken_off" }
        } catch (e: CancellationException) {
            trace.outcome = "caller_left"
            throw e
        } finally {
            trace.call?.reservation?.settle(usedTokens = 0)
            giveBackUnused(trace)
            giveBackStart(trace)
            metrics.record(trace, clock.elapsed() - trace.startedAt)
            log(request, trace)
        }
    }

    private suspend fun Raise<Refusal>.serve(
        request: CallerRequest,
        exchange: CallerExchange,
        trace: RequestLogContext,
    ): AttemptResult.Answered {
        val head = codec.head(request)
        trace.head = head
        val configuration = configurations.awaitCurrent() ?: raise(stale("no configuration is known yet"))
        trace.configurationVersion = configuration.version
        val route = routeOf(configuration, request)
        trace.route = route
        val account = accountOf(configuration, route, head)
        trace.account = account
        val call = callOf(configuration, route, account, request, exchange, head)
        trace.call = call
        if (crashes.hasMarks && crashes.isQuarantined(call.fingerprint)) raise(quarantined())
        account?.let { admit(it, call, trace) }
        val answered = dispatcher.dispatch(call).bind()
        trace.status = answered.status
        return answered
    }

    private fun Raise<Refusal>.routeOf(
        configuration: EdgeConfiguration,
        request: CallerRequest,
    ): Route {
        configuration.routeOf(request.host, request.path)?.let { return it }
        if (!configurations.isFresh) raise(stale("the route may be newer than what is known here"))
        raise(Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "no route matches"))
    }

    private fun Raise<Refusal>.accountOf(
        configuration: EdgeConfiguration,
        route: Route,
        head: CallHead,
    ): AccountSettings? {
        if (configuration.accounts == null) return null
        head.accessKey?.let(configuration::accountOf)?.let { return it }
        if (route.isPublic) return null
        if (!configurations.isFresh) raise(stale("the key may be newer than what is known here"))
        raise(Refusal(RefusalCode.UNAUTHORIZED, Execution.NOT_RUN, "no key that is in force"))
    }

    private suspend fun Raise<Refusal>.admit(
        account: AccountSettings,
        call: RoutedCall,
        trace: RequestLogContext,
    ) {
        if (call.startsProgram) {
            quotas.admitStart(account).bind()
        } else {
            quotas.admit(account, minOf(call.callerTimeout / RATE_WAIT_DIVISOR, LONGEST_RATE_WAIT)).bind()
        }
        trace.isAdmitted = true
    }

    /** A request that no target ran does not count in what its account may ask. */
    private fun giveBackUnused(trace: RequestLogContext) {
        val account = trace.account ?: return
        if (trace.isAdmitted && trace.runs == 0) quotas.giveBack(account)
    }

    /** A program that could not be started leaves no claim, so that it counts as not started everywhere. */
    private fun giveBackStart(trace: RequestLogContext) {
        val program = trace.head?.program ?: return
        val isUnstarted = trace.call?.startsProgram == true && trace.runs == 0
        if (isUnstarted) scope.launch { budgets.trim(program) }
    }

    private suspend fun Raise<Refusal>.callOf(
        configuration: EdgeConfiguration,
        route: Route,
        account: AccountSettings?,
        request: CallerRequest,
        exchange: CallerExchange,
        head: CallHead,
    ): RoutedCall {
        val id = head.id ?: raise(Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "the request has no id"))
        val service =
            configuration.services[destinationOf(route).service]
                ?: raise(Refusal(RefusalCode.UNKNOWN_SERVICE, Execution.NOT_RUN, "the route's service is not set up"))
        val callerDeadline = request.receivedAt + (head.callerTimeout ?: route.timeout)
        if (stopDeadline.isBefore(callerDeadline)) raise(stopping())
        val chain = chainOf(route, account, head)
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
            reservation = reservationOf(route, head),
        )
    }

    private fun destinationOf(route: Route): Destination {
        val total = route.destinations.sumOf { it.weight }
        if (total <= 0) return route.destinations.first()
        var drawn = random.nextInt(total)
        return route.destinations.first {
            drawn -= it.weight
            drawn < 0
        }
    }

    private suspend fun Raise<Refusal>.chainOf(
        route: Route,
        account: AccountSettings?,
        head: CallHead,
    ): TurnChain? {
        if (!route.isRetained) return null
        val previous = head.previousTurn ?: return TurnChain(emptyList())
        return turns.chain(previous, account?.id).getOrElse { raise(refusalOf(it)) }
    }

    private fun refusalOf(failure: TurnFailure): Refusal =
        when (failure) {
            is TurnFailure.NotFound -> Refusal(RefusalCode.NOT_FOUND, Execution.NOT_RUN, "there is no such turn")
            is TurnFailure.GatewayUnavailable -> storeAway("the turn may be elsewhere")
            is TurnFailure.StoreUnavailable -> storeAway("the turn cannot be read now")
        }

    private suspend fun Raise<Refusal>.reservationOf(
        route: Route,
        head: CallHead,
    ): Reservation? {
        if (route.kind != RouteKind.STREAMING) return null
        val program = head.program ?: return null
        val budgetTokens = head.tokenBudget ?: return null
        return budgets.reserve(program, budgetTokens, head.maxOutputTokens).bind()
    }

    private fun quarantined(): Refusal =
        Refusal(RefusalCode.QUARANTINED, Execution.NOT_RUN, "the request crashed targets before", QUARANTINE_RETRY_MS)

    /** What might be cut off by the end of this gateway is better served by another one from the start. */
    private fun stopping(): Refusal =
        Refusal(RefusalCode.STOPPING, Execution.NOT_RUN, "the gateway is being stopped", STOPPING_RETRY_MS)

    private fun stale(detail: String): Refusal =
        Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, detail, STALE_RETRY_MS)

    private fun refuse(
        refusal: Refusal,
        exchange: CallerExchange,
        trace: RequestLogContext,
    ) {
        trace.outcome = refusal.code.wireName
        trace.detail = refusal.detail
        trace.status = codec.statusOf(refusal)
        if (exchange.isStarted) return exchange.abort()
        exchange.answer(codec.statusOf(refusal), codec.refusalHeaders(refusal, trace.head?.id), EMPTY)
    }

    private fun log(
        request: CallerRequest,
        trace: RequestLogContext,
    ) {
        logger.event(
            "request",
            "call" to (trace.head?.id ?: "none"),
            "path" to request.path,
            "route" to (trace.route?.name ?: "none"),
            "account" to (trace.account?.id ?: "none"),
            "program" to (trace.head?.program ?: "none"),
            "previous" to (trace.head?.previousTurn ?: "none"),
            "configuration" to trace.configurationVersion,
            "target" to (trace.call?.lastTarget ?: "none"),
            "runs" to trace.runs,
            "status" to trace.status,
            "outcome" to trace.outcome,
            "detail" to trace.detail,
            "took_ms" to (clock.elapsed() - trace.startedAt).inWholeMilliseconds,
        )
    }

    private companion object {
        /** A request waits for this part of its caller's patience at most until its account is within its rate. */
        private const val RATE_WAIT_DIVISOR = 4
        private val LONGEST_RATE_WAIT = 1.seconds
        private const val QUARANTINE_RETRY_MS = 60_000L
        private const val STOPPING_RETRY_MS = 20L
        private const val STALE_RETRY_MS = 500L
        private val EMPTY = ByteArray(0)
    }
}
