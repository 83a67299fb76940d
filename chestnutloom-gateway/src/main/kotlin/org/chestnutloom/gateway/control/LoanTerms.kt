package org.chestnutloom.gateway.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long lent tokens may be spent.
 *
 * The times are short, as the room of lent tokens accrues nothing while they last.
 * The borrower counts from when it asked, and the lender, who keeps their room occupied, a little longer from when it
 * deducted them; so no token is spent after the lender has refilled its room.
 */
internal object LoanTerms {
    val borrowerValidity: Duration = 100.milliseconds
    val lenderValidity: Duration = 110.milliseconds
}
