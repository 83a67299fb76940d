package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Admits requests whose account's limit other gateways enforce, by tokens that were granted in advance where the demand
 * is several requests a second; confined to the event loop.
 *
 * The lender counts the tokens as spent at once, so tokens of a gateway that fails need no action: the bucket's rate
 * replaces them.
 */
internal class TokenPrefetch(
    private val fleet: Fleet,
    private val client: QuotaClient,
    private val metrics: QuotaMetrics,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val tokensByAccount = HashMap<ClientAccountId, AccountTokens>()

    /** Has a request of [account] admitted, or refuses it as not run. */
    suspend fun admit(
        account: ClientAccountId,
        startsProgram: Boolean,
        maxWait: Duration,
    ): Either<Refusal, QuotaGrant> {
        val tokens = tokensByAccount.getOrPut(account) { AccountTokens(clock) }
        tokens.recordRequest()
        val loan = tokens.take(startsProgram) ?: return admitRemotely(account, tokens, startsProgram, maxWait)
        metrics.recordLocal()
        refillIfLow(account, tokens)
        return grantOf(loan, tokens).right()
    }

    /** Returns all unused tokens. */
    fun returnAll() {
        tokensByAccount.values.flatMap { it.takeAll() }.forEach(client::returnUnused)
    }

    private suspend fun admitRemotely(
        account: ClientAccountId,
        tokens: AccountTokens,
        startsProgram: Boolean,
        maxWait: Duration,
    ): Either<Refusal, QuotaGrant> {
        metrics.recordRemote()
        if (!fleet.isQuotaPrefetchEnabled) {
            return client.request(account, startsProgram, maxWait).map { used(it, tokens) }
        }
        val count = if (tokens.isRequesting) 1 else tokens.expectedTokens - tokens.usableTokens
        return request(account, tokens, startsProgram, maxWait, count.coerceAtLeast(1)).map { used(it, tokens) }
    }

    /** Requests more tokens without a request that waits for them, unless the account is near its limit. */
    private fun refillIfLow(
        account: ClientAccountId,
        tokens: AccountTokens,
    ) {
        if (tokens.isRequesting || tokens.isScarce || !fleet.isQuotaPrefetchEnabled) return
        val expected = tokens.expectedTokens
        val usable = tokens.usableTokens
        if (expected == 0 || usable * 2 > expected) return
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            request(account, tokens, startsProgram = false, Duration.ZERO, expected - usable)
                .onRight { keep(it, tokens) }
        }
    }

    private suspend fun request(
        account: ClientAccountId,
        tokens: AccountTokens,
        startsProgram: Boolean,
        maxWait: Duration,
        count: Int,
    ): Either<Refusal, TokenLoan> {
        if (tokens.isRequesting) return client.request(account, startsProgram, maxWait, count, LOAN_PERIOD)
        tokens.isRequesting = true
        try {
            val result = client.request(account, startsProgram, maxWait, count, LOAN_PERIOD)
            val granted = result.getOrNull()?.grantedTokens ?: 0
            tokens.isScarce = granted * 2 < count
            return result
        } finally {
            tokens.isRequesting = false
        }
    }

    private fun used(
        loan: TokenLoan,
        tokens: AccountTokens,
    ): QuotaGrant {
        loan.use()
        keep(loan, tokens)
        return grantOf(loan, tokens)
    }

    private fun grantOf(
        loan: TokenLoan,
        tokens: AccountTokens,
    ) = QuotaGrant {
        loan.giveBack()
        keep(loan, tokens)
    }

    /** Keeps the unused tokens of [loan] until they lapse, and returns those that are unused then. */
    private fun keep(
        loan: TokenLoan,
        tokens: AccountTokens,
    ) {
        if (loan.unusedTokens == 0) return
        if (!loan.isUsable) return client.returnUnused(loan)
        tokens.add(loan)
        scope.launch {
            while (loan.isUsable) delay(loan.remaining.coerceAtLeast(1.milliseconds))
            tokens.takeLapsed().forEach(client::returnUnused)
        }
    }

    private companion object {
        private val LOAN_PERIOD = MAX_LOAN_MS.milliseconds
    }
}
