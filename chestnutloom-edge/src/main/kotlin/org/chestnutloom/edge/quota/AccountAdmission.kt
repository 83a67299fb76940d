package org.chestnutloom.edge.quota

import arrow.core.Either
import arrow.core.right
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.config.AccountSettings
import kotlin.time.Duration

/** Admits requests by the rate limits of their accounts, here or at a gateway that enforces the account's limit. */
internal class AccountAdmission(
    private val quotas: AccountQuotas,
    private val prefetch: TokenPrefetch,
) {
    /**
     * Admits a request of [account], or refuses it as not run.
     *
     * A request that [startsProgram] does not wait for the account's rate; others wait for up to [maxWait].
     */
    suspend fun admit(
        account: AccountSettings,
        startsProgram: Boolean,
        maxWait: Duration,
    ): Either<Refusal, QuotaGrant> {
        if (account.limit == null) return QuotaGrant {}.right()
        if (!quotas.holds(account.id)) return prefetch.admit(account.id, startsProgram, maxWait)
        val decision = if (startsProgram) quotas.admitProgramStart(account) else quotas.admit(account, maxWait)
        return decision.map { QuotaGrant { quotas.refund(account.id) } }
    }
}
