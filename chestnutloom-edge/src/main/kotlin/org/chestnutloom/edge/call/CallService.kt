package org.chestnutloom.edge.call

import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.coroutines.CancellationException
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.http.CallerExchange
import org.chestnutloom.edge.http.CallerHandler
import org.chestnutloom.edge.http.CallerRequest
import org.chestnutloom.edge.quota.AccountAdmission
import org.chestnutloom.edge.turn.TurnRecord
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Handles callers' requests: selects the route, checks quotas and budgets, and dispatches to a target. */
internal class CallService(
    private val routes: RouteResolver,
    private val codec: CallCodec,
    private val admission: AccountAdmission,
    private val turns: TurnStore,
    private val calls: CallFactory,
    private val dispatcher: CallDispatcher,
    private val quarantine: RequestQuarantine,
    private val metrics: CallMetrics,
    private val clock: Clock,
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
            context.call?.chain?.release()
            refundUnusedQuota(context)
            val elapsed = clock.elapsed() - context.startedAt
            metrics.record(context, elapsed)
            RequestLog.write(request, context, elapsed)
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
        val resolved = with(routes) { resolve(request, head, context) }
        val account = resolved.account
        val call = with(calls) { create(resolved, request, exchange, head) }
        context.call = call
        if (quarantine.hasCrashes) quarantine.admit(call.fingerprint)?.let { raise(quarantined(it)) }
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

    private fun quarantined(remaining: Duration): Refusal =
        Refusal(
            RefusalCode.QUARANTINED,
            Execution.NOT_RUN,
            "Earlier attempts of this request crashed targets.",
            remaining.inWholeMilliseconds,
        )

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

    private companion object {
        /** A request over its account's rate waits for at most the caller's timeout divided by this number. */
        private const val RATE_LIMIT_WAIT_DIVISOR = 4
        private val MAX_RATE_LIMIT_WAIT = 1.seconds
        private val EMPTY_BODY = ByteArray(0)
    }
}
