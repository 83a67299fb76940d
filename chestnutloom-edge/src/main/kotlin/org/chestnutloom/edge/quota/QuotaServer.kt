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

    /** Returns the token of a request of [sender] that was admitted here, once. */
    fun receive(
        refund: QuotaRefund,
        sender: PeerAddress,
    ) {
        if (recent.takeRefund(sender, refund.id)) quotas.refund(refund.account)
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
                { QuotaReply(request.id, account.id, QuotaOutcome.GRANTED) },
            )
        recent.decided(sender, reply)
        reply(reply, sender)
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
