package org.chestnutloom.gateway.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long lent tokens may be spent.
 *
 * The times are short, as the room of lent tokens accrues nothing while they last.
 * The borrower counts from when it asked, and the lender, who keeps their room occupied, a little longer from when it
 * deducted them; so no token is spent after the lender has refilled its room.
 *
 * @property borrowerValidity how long after its request the borrower may spend the tokens
 */
internal data class LoanTerms(
    val borrowerValidity: Duration,
) {
    /** How long the lender keeps the room of the tokens occupied. */
    val lenderValidity: Duration
        get() = borrowerValidity * LENDER_MARGIN

    /** How long the borrower waits for an answer. */
    val answerTimeout: Duration
        get() = borrowerValidity * ANSWER_SHARE

    companion object {
        private const val LENDER_MARGIN = 1.1
        private const val ANSWER_SHARE = 0.9

        /** The terms of a first request. */
        val BRIEF: LoanTerms = LoanTerms(100.milliseconds)

        /** The terms after a request that got no answer in time; no loan lasts longer. */
        val PATIENT: LoanTerms = LoanTerms(400.milliseconds)
    }
}
