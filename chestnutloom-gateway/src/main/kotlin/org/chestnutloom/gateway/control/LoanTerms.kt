package org.chestnutloom.gateway.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long lent tokens may be spent.
 *
 * The borrower counts from when it asked, and the lender, who keeps their room occupied, a little longer from when it
 * deducted them; so no token is spent after the lender has refilled its room.
 */
internal object LoanTerms {
    val borrowerValidity: Duration = 500.milliseconds
    val lenderValidity: Duration = 550.milliseconds
}
