package org.chestnutloom.rate

import kotlin.time.Duration

/** Tokens borrowed from another gateway, which may be spent until [endsAt] on the monotonic clock. */
internal data class BorrowedTokens(
    val milliTokens: Long,
    val endsAt: Duration,
)
