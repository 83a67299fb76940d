package org.chestnutloom.rate

/** Tokens that another gateway may spend until [endNanos] of the monotonic clock. */
internal data class Loan(
    val nanoTokens: Long,
    val endNanos: Long,
)
