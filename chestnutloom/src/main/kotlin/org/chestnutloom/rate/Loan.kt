package org.chestnutloom.rate

/** Tokens lent to another gateway, which may spend them until [endNanos] on the monotonic clock. */
internal data class Loan(
    val nanoTokens: Long,
    val endNanos: Long,
)
