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

/** Borrows tokens from other gateways, starting with those that hold the largest shares. */
internal class TokenBorrower(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val fleet: FleetDirectory,
) {
    private val unresponsiveUntil = ConcurrentHashMap<GatewayId, Duration>()

    /** Borrows up to what the waiting requests need; within [retryDelay] of a failed attempt it repeats that result. */
    suspend fun borrow(rights: AccountRights): BorrowOutcome {
        if (clock.elapsed() < rights.nextBorrowAt) return rights.lastOutcome
        val holders = holders(rights)
        val lenders = holders.filterNot(::isUnresponsive).take(MAX_LENDERS)
        var allExhausted = lenders.size == holders.take(MAX_LENDERS).size
        for (lender in lenders) {
            if (shortfall(rights) > 0) allExhausted = requestTokens(rights, lender) && allExhausted
        }
        rights.lastOutcome = outcome(rights, allExhausted)
        if (rights.lastOutcome != BorrowOutcome.COVERED) rights.nextBorrowAt = clock.elapsed() + retryDelay
        return rights.lastOutcome
    }

    private fun outcome(
        rights: AccountRights,
        allExhausted: Boolean,
    ): BorrowOutcome =
        when {
            shortfall(rights) <= 0 -> BorrowOutcome.COVERED
            allExhausted -> BorrowOutcome.EXHAUSTED
            else -> BorrowOutcome.INCONCLUSIVE
        }

    private fun shortfall(rights: AccountRights): Long {
        val wanted = rights.waitingRequests.get().coerceIn(1, MAX_REQUESTS) * REQUEST_MILLI_TOKENS
        return wanted - rights.held.milliTokens
    }

    private fun holders(rights: AccountRights): List<GatewayId> {
        val record = rights.record
        val known = record?.holdings?.filter { it.sharePermille > 0 }?.sortedByDescending { it.sharePermille }
        val candidates = known?.map { it.holder.gateway } ?: fleet.all().keys.toList()
        return candidates.filter { it != settings.id }
    }

    private fun isUnresponsive(lender: GatewayId): Boolean =
        (unresponsiveUntil[lender] ?: Duration.ZERO) > clock.elapsed()

    /** Requests tokens from [lender], and returns whether it has confirmed that it has no more to lend. */
    private suspend fun requestTokens(
        rights: AccountRights,
        lender: GatewayId,
    ): Boolean {
        val link = fleet.link(lender) ?: return false
        val requestedAt = clock.elapsed()
        val terms = if (rights.lastOutcome == BorrowOutcome.INCONCLUSIVE) LoanTerms.EXTENDED else LoanTerms.INITIAL
        val request = RequestRights(rights.account, shortfall(rights), terms.borrowerValidity.inWholeMilliseconds)
        val reply =
            try {
                withTimeoutOrNull(terms.replyTimeout) { link.request(request).firstOrNull() }
            } catch (_: LinkException) {
                null
            }
        if (reply == null) unresponsiveUntil[lender] = clock.elapsed() + unresponsiveDelay
        if (reply !is RightsMoved || reply.account != rights.account) return false
        rights.held.borrow(reply.milliTokens, requestedAt + terms.borrowerValidity)
        return reply.isShareKnown && reply.milliTokens < request.wantedMilliTokens
    }

    private companion object {
        const val MAX_LENDERS = 4
        const val MAX_REQUESTS = 50
        val retryDelay = 20.milliseconds
        val unresponsiveDelay = 50.milliseconds
    }
}
