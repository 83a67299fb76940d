package org.chestnutloom.edge.quota

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.fleet.FleetTransport
import org.chestnutloom.edge.fleet.QuotaOutcome
import org.chestnutloom.edge.fleet.QuotaRefund
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.edge.fleet.QuotaRequest
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration.Companion.milliseconds

/** Admits requests for other gateways that do not enforce the limit of the request's account. */
internal class QuotaServer(
    private val quotas: AccountQuotas,
    private val configurations: ConfigurationHolder,
    private val transport: FleetTransport,
    private val scope: CoroutineScope,
) {
    private val recent = RecentQuotaRequests()

    /** Decides about [request] and replies to [sender]; a duplicate gets the same decision. */
    fun receive(
        request: QuotaRequest,
        sender: PeerAddress,
    ) {
        if (!recent.add(sender, request.id)) {
            recent.replyTo(sender, request.id)?.let { reply(it, sender) }
            return
        }
        scope.launch {
            val account = configurations.current?.accountsById?.get(request.account)
            if (account == null || !quotas.holds(account.id)) {
                reply(QuotaReply(request.id, request.account, QuotaOutcome.UNAVAILABLE), sender)
            } else {
                decide(request, account, sender)
            }
        }
    }

    /** Returns tokens that [sender] was granted here, each of them once. */
    fun receive(
        refund: QuotaRefund,
        sender: PeerAddress,
    ) {
        val returned = recent.takeRefund(sender, refund.id, refund.count)
        if (returned > 0) quotas.refund(refund.account, returned)
    }

    private suspend fun decide(
        request: QuotaRequest,
        account: AccountSettings,
        sender: PeerAddress,
    ) {
        val decision = scope.async(start = CoroutineStart.UNDISPATCHED) { admit(request, account) }
        if (!decision.isCompleted) reply(QuotaReply(request.id, account.id, QuotaOutcome.QUEUED), sender)
        val reply =
            decision.await().fold(
                { QuotaReply(request.id, account.id, outcomeOf(it), it.retryAfterMs ?: 0) },
                { grantOf(request, account) },
            )
        recent.decided(sender, reply)
        reply(reply, sender)
    }

    /** Grants the token of the request and, if the account has plenty, tokens in advance. */
    private fun grantOf(
        request: QuotaRequest,
        account: AccountSettings,
    ): QuotaReply {
        val inAdvance = if (request.loanMs in 1..MAX_LOAN_MS) (request.count - 1).coerceIn(0, MAX_LOAN_TOKENS) else 0
        val lent = quotas.lend(account.id, inAdvance)
        val allowsStarts = inAdvance > 0 && quotas.allowsStarts(account.id)
        return QuotaReply(request.id, account.id, QuotaOutcome.GRANTED, 0, 1 + lent, allowsStarts)
    }

    private suspend fun admit(
        request: QuotaRequest,
        account: AccountSettings,
    ): Either<Refusal, Unit> =
        if (request.startsProgram) {
            quotas.admitProgramStart(account)
        } else {
            quotas.admit(account, request.maxWaitMs.milliseconds)
        }

    private fun outcomeOf(refusal: Refusal): QuotaOutcome =
        if (refusal.code == RefusalCode.RATE_LIMITED) QuotaOutcome.REFUSED else QuotaOutcome.UNAVAILABLE

    private fun reply(
        reply: QuotaReply,
        receiver: PeerAddress,
    ) {
        transport.send(reply, listOf(receiver))
    }
}
