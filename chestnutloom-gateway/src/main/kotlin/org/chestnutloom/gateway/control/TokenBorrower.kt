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
import kotlin.time.Duration.Companion.seconds

/** Asks other gateways for tokens, those with the largest shares first. */
internal class TokenBorrower(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val fleet: FleetDirectory,
) {
    private val silentUntil = ConcurrentHashMap<GatewayId, Duration>()

    /** Borrows what the requests that wait need, or as much as there is; does nothing right after a vain attempt. */
    suspend fun borrow(rights: AccountRights) {
        if (clock.elapsed() < rights.nextAskAt) return
        for (lender in lenders(rights)) {
            if (missing(rights) <= 0) return
            ask(rights, lender)
        }
        if (missing(rights) > 0) rights.nextAskAt = clock.elapsed() + pause
    }

    private fun missing(rights: AccountRights): Long {
        val wanted = rights.waiting.get().coerceIn(1, MAX_REQUESTS) * REQUEST_MILLI_TOKENS
        return wanted - rights.held.milliTokens
    }

    private fun lenders(rights: AccountRights): List<GatewayId> {
        val record = rights.record
        val known = record?.holdings?.filter { it.sharePermille > 0 }?.sortedByDescending { it.sharePermille }
        val candidates = known?.map { it.holder.gateway } ?: fleet.all().keys.toList()
        val now = clock.elapsed()
        return candidates
            .filter { it != settings.id && (silentUntil[it] ?: Duration.ZERO) <= now }
            .take(MAX_LENDERS)
    }

    private suspend fun ask(
        rights: AccountRights,
        lender: GatewayId,
    ) {
        val link = fleet.link(lender) ?: return
        val askedAt = clock.elapsed()
        val request = RequestRights(rights.account, missing(rights))
        val reply =
            try {
                withTimeoutOrNull(timeout) { link.request(request).firstOrNull() }
            } catch (_: LinkException) {
                null
            }
        if (reply == null) silentUntil[lender] = clock.elapsed() + silencePause
        if (reply !is RightsMoved || reply.account != rights.account) return
        rights.held.borrow(reply.milliTokens, askedAt + LoanTerms.borrowerValidity)
    }

    private companion object {
        const val MAX_LENDERS = 4
        const val MAX_REQUESTS = 50
        val timeout = 90.milliseconds
        val pause = 20.milliseconds
        val silencePause = 1.seconds
    }
}
