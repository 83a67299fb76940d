package org.chestnutloom.rate

import kotlin.time.Duration

/** Tokens that another gateway lent, which may be spent until [endsAt] on the monotonic clock. */
internal data class BorrowedTokens(
    val milliTokens: Long,
    val endsAt: Duration,
)
