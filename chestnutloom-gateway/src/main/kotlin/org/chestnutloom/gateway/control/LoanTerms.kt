package org.chestnutloom.gateway.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The validity period of lent tokens.
 *
 * The periods are short because the lender's bucket does not refill the lent tokens until the loan ends.
 * The borrower counts from when it sent the request. The lender counts from when it deducted the tokens, and for
 * longer, so that no lent token is spent after the lender has refilled it.
 *
 * @property borrowerValidity how long after its request the borrower may spend the tokens
 */
internal data class LoanTerms(
    val borrowerValidity: Duration,
) {
    /** How long the lender does not refill the lent tokens. */
    val lenderValidity: Duration
        get() = borrowerValidity * LENDER_MARGIN

    /** How long the borrower waits for a reply. */
    val replyTimeout: Duration
        get() = borrowerValidity * REPLY_SHARE

    companion object {
        private const val LENDER_MARGIN = 1.1
        private const val REPLY_SHARE = 0.9

        /** The terms of the first request. */
        val INITIAL: LoanTerms = LoanTerms(100.milliseconds)

        /** The terms after an inconclusive attempt, which allow for slow replies; no loan lasts longer. */
        val EXTENDED: LoanTerms = LoanTerms(400.milliseconds)
    }
}
