package org.chestnutloom.edge.quota

import org.chestnutloom.time.Clock
import kotlin.math.ceil

/** The tokens of one account that this gateway holds in advance, and its demand; confined to the event loop. */
internal class AccountTokens(
    clock: Clock,
) {
    private val demand = DemandEstimate(clock)
    private val loans = ArrayDeque<TokenLoan>()

    /** Whether tokens have been requested in advance and no reply has arrived. */
    var isRequesting = false

    /** Whether the last replica that was asked granted few tokens, because the account is near its limit. */
    var isScarce = false

    /** The number of tokens that requests may use now. */
    val usableTokens: Int
        get() = loans.sumOf { if (it.isUsable) it.unusedTokens else 0 }

    /** The number of tokens that this gateway should hold, or zero if the demand is too small to hold any. */
    val expectedTokens: Int
        get() {
            val perSecond = demand.perSecond
            if (perSecond < MIN_DEMAND_PER_SECOND) return 0
            return ceil(perSecond * EXPECTED_S).toInt().coerceAtMost(MAX_LOAN_TOKENS)
        }

    /** Records a request of the account. */
    fun recordRequest() {
        demand.record()
    }

    /** Uses a token for a request, and returns the loan that it belongs to, or null if there is none. */
    fun take(startsProgram: Boolean): TokenLoan? {
        val loan = loans.firstOrNull { it.isUsable && (it.allowsStarts || !startsProgram) } ?: return null
        loan.use()
        if (loan.unusedTokens == 0) loans -= loan
        return loan
    }

    /** Adds the unused tokens of [loan]. */
    fun add(loan: TokenLoan) {
        if (loan.unusedTokens > 0 && loan !in loans) loans += loan
    }

    /** Removes and returns the loans that have lapsed. */
    fun takeLapsed(): List<TokenLoan> = loans.filterNot { it.isUsable }.also { loans -= it.toSet() }

    /** Removes and returns all loans. */
    fun takeAll(): List<TokenLoan> = loans.toList().also { loans.clear() }

    private companion object {
        /** Below, tokens would lapse about as often as they are used. */
        private const val MIN_DEMAND_PER_SECOND = 4.0

        /** Shorter than a loan, so that most tokens are used before they lapse. */
        private const val EXPECTED_S = 0.4
    }
}
