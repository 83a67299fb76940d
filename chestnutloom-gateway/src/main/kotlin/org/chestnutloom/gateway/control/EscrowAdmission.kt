package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.rate.REQUEST_MILLI_TOKENS
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.rate.heldRights
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.RightsMoved
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Admits requests by the rate rights of this gateway, and borrows tokens from other gateways when it runs out. */
internal class EscrowAdmission(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
    private val proof: FreshnessTracker,
    private val limits: AccountLimits,
    private val rightsTable: RightsTable,
    private val borrower: TokenBorrower,
    private val balancer: ShareBalancer,
) : RateControl {
    private val accounts = ConcurrentHashMap<ClientAccountId, AccountRights>()

    @Volatile
    private var isLending = true

    override suspend fun admit(account: ClientAccountId): Either<Refusal, Unit> =
        either {
            proof.check().bind()
            val limit = limits.of(account) ?: raise(ControlRefusals.unauthorized("The client account does not exist."))
            val rights = rightsOf(account, limit) ?: raise(ControlRefusals.stale("The gateway does not hold a lease."))
            rights.held.changeLimit(limit)
            rights.ownDemand.incrementAndGet()
            loadFirst(rights, limit)
            if (!spend(rights) && !spendBorrowedOrAccrued(rights)) {
                proof.check().bind()
                raise(ControlRefusals.rateLimited(retryAfterMs(rights, limit)))
            }
        }

    /** Lends tokens to gateway [peer], after deducting them here. */
    override fun lend(
        peer: GatewayId,
        request: RequestRights,
    ): RightsMoved {
        val rights = accounts[request.account]
        if (rights?.record == null) return RightsMoved(request.account, 0, isShareKnown = false)
        if (!isLending || !maySpend(rights)) return RightsMoved(request.account, 0)
        rights.peerDemand.merge(peer, 1L, Long::plus)
        val terms = LoanTerms(minOf(request.validityMs.milliseconds, LoanTerms.EXTENDED.borrowerValidity))
        return RightsMoved(request.account, rights.held.lend(request.wantedMilliTokens, terms.lenderValidity))
    }

    override suspend fun refresh(account: ClientAccountId) {
        val rights = accounts[account] ?: return
        limits.of(account)?.let { load(rights, it) }
    }

    override suspend fun maintain() {
        for (rights in accounts.values) {
            val limit = limits.of(rights.account) ?: continue
            rights.held.changeLimit(limit)
            val isShort = rights.shortages.getAndSet(0) > 0
            if (isShort) load(rights, limit) else balancer.rebalance(rights)
            balancer.decayDemand(rights)
        }
    }

    override suspend fun releaseAll() {
        isLending = false
        // A share cannot be released while tokens of it are lent, and no loan lasts longer than this.
        delay(LoanTerms.EXTENDED.lenderValidity)
        accounts.values.forEach { rights ->
            rightsTable.release(rights).onLeft { warn("rights_not_released", rights, it) }
        }
    }

    override fun reset() {
        accounts.clear()
    }

    private fun rightsOf(
        account: ClientAccountId,
        limit: RateLimit,
    ): AccountRights? {
        accounts[account]?.let { return it }
        val incarnation = lease.record?.incarnation ?: return null
        val holder = RightsHolder(settings.id, incarnation)
        return accounts.computeIfAbsent(account) { AccountRights(account, heldRights(clock, holder, limit)) }
    }

    private fun retryAfterMs(
        rights: AccountRights,
        limit: RateLimit,
    ): Long {
        val wait = rights.held.timeUntilNextRequest() ?: (1.seconds / limit.ratePerSecond)
        return wait.inWholeMilliseconds + 1
    }

    private suspend fun load(
        rights: AccountRights,
        limit: RateLimit,
    ) {
        rightsTable.refresh(rights, limit).onLeft { warn("rights_not_read", rights, it) }
    }

    /** Reads the rights row if it has not been read; concurrent requests wait for the same read. */
    private suspend fun loadFirst(
        rights: AccountRights,
        limit: RateLimit,
    ) {
        if (rights.record != null) return
        rights.firstLoadMutex.withLock { if (rights.record == null) load(rights, limit) }
    }

    private suspend fun spendBorrowedOrAccrued(rights: AccountRights): Boolean {
        rights.shortages.incrementAndGet()
        rights.waitingRequests.incrementAndGet()
        try {
            return spendBorrowed(rights) || spendAccrued(rights)
        } finally {
            rights.waitingRequests.decrementAndGet()
        }
    }

    /** Borrows until a request can be admitted or every holder has replied that it has no more tokens to lend. */
    private suspend fun spendBorrowed(rights: AccountRights): Boolean {
        repeat(MAX_BORROW_ATTEMPTS) {
            limits.of(rights.account)?.let { loadFirst(rights, it) }
            val outcome = borrow(rights)
            if (spend(rights)) return true
            if (outcome == BorrowOutcome.EXHAUSTED) return false
            delay(borrowRetryDelay)
        }
        return false
    }

    private suspend fun borrow(rights: AccountRights): BorrowOutcome =
        rights.borrowMutex.withLock {
            if (rights.held.milliTokens >= REQUEST_MILLI_TOKENS) BorrowOutcome.COVERED else borrower.borrow(rights)
        }

    /** Waits for the next token to accrue if that takes at most [maxAccrualWait]. */
    private suspend fun spendAccrued(rights: AccountRights): Boolean {
        val wait = rights.held.timeUntilNextRequest() ?: return false
        if (wait > maxAccrualWait) return false
        delay(wait + 1.milliseconds)
        return spend(rights)
    }

    private fun spend(rights: AccountRights): Boolean = maySpend(rights) && rights.held.trySpend()

    /** Returns whether the freshness proof is valid and the rights belong to the current lease; checked at each use. */
    private fun maySpend(rights: AccountRights): Boolean =
        proof.check().isRight() && rights.held.holder.incarnation == lease.record?.incarnation

    private fun warn(
        event: String,
        rights: AccountRights,
        cause: Any,
    ) {
        logger.warnEvent(event, "account" to rights.account, "cause" to cause)
    }

    private companion object {
        val maxAccrualWait = 100.milliseconds
        val borrowRetryDelay = 25.milliseconds
        const val MAX_BORROW_ATTEMPTS = 40
    }
}
