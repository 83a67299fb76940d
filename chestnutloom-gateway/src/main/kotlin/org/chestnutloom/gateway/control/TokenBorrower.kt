package org.chestnutloom.gateway.control

import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.REQUEST_MILLI_TOKENS
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.RightsMoved
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Asks other gateways for tokens, those with the largest shares first. */
internal class TokenBorrower(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val fleet: FleetDirectory,
) {
    private val silentUntil = ConcurrentHashMap<GatewayId, Duration>()

    /** Borrows what the requests that wait need, or as much as there is; does nothing right after a vain attempt. */
    suspend fun borrow(rights: AccountRights): BorrowOutcome {
        if (clock.elapsed() < rights.nextAskAt) return rights.lastOutcome
        val holders = holders(rights)
        val lenders = holders.filterNot(::isSilent).take(MAX_LENDERS)
        var allAnswered = lenders.size == holders.take(MAX_LENDERS).size
        for (lender in lenders) {
            if (missing(rights) > 0) allAnswered = ask(rights, lender) && allAnswered
        }
        rights.lastOutcome = outcome(rights, allAnswered)
        if (rights.lastOutcome != BorrowOutcome.COVERED) rights.nextAskAt = clock.elapsed() + pause
        return rights.lastOutcome
    }

    private fun outcome(
        rights: AccountRights,
        allAnswered: Boolean,
    ): BorrowOutcome =
        when {
            missing(rights) <= 0 -> BorrowOutcome.COVERED
            allAnswered -> BorrowOutcome.LACKING
            else -> BorrowOutcome.UNANSWERED
        }

    private fun missing(rights: AccountRights): Long {
        val wanted = rights.waiting.get().coerceIn(1, MAX_REQUESTS) * REQUEST_MILLI_TOKENS
        return wanted - rights.held.milliTokens
    }

    private fun holders(rights: AccountRights): List<GatewayId> {
        val record = rights.record
        val known = record?.holdings?.filter { it.sharePermille > 0 }?.sortedByDescending { it.sharePermille }
        val candidates = known?.map { it.holder.gateway } ?: fleet.all().keys.toList()
        return candidates.filter { it != settings.id }
    }

    private fun isSilent(lender: GatewayId): Boolean = (silentUntil[lender] ?: Duration.ZERO) > clock.elapsed()

    /** Asks [lender], and tells whether it answered for certain that it can spare no more. */
    private suspend fun ask(
        rights: AccountRights,
        lender: GatewayId,
    ): Boolean {
        val link = fleet.link(lender) ?: return false
        val askedAt = clock.elapsed()
        val terms = if (rights.lastOutcome == BorrowOutcome.UNANSWERED) LoanTerms.PATIENT else LoanTerms.BRIEF
        val request = RequestRights(rights.account, missing(rights), terms.borrowerValidity.inWholeMilliseconds)
        val reply =
            try {
                withTimeoutOrNull(terms.answerTimeout) { link.request(request).firstOrNull() }
            } catch (_: LinkException) {
                null
            }
        if (reply == null) silentUntil[lender] = clock.elapsed() + silencePause
        if (reply !is RightsMoved || reply.account != rights.account) return false
        rights.held.borrow(reply.milliTokens, askedAt + terms.borrowerValidity)
        return reply.isShareKnown && reply.milliTokens < request.wantedMilliTokens
    }

    private companion object {
        const val MAX_LENDERS = 4
        const val MAX_REQUESTS = 50
        val pause = 20.milliseconds
        val silencePause = 50.milliseconds
    }
}
