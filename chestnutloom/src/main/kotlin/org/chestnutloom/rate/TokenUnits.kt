package org.chestnutloom.rate

/** The whole of a client account's rate and burst, in permille. */
public const val WHOLE_SHARE_PERMILLE: Int = 1000

/** What one request costs, in thousandths of a token. */
public const val REQUEST_MILLI_TOKENS: Long = 1000

internal const val NANO_PER_MILLI_TOKEN: Long = 1_000_000

internal const val NANO_PER_TOKEN: Long = NANO_PER_MILLI_TOKEN * REQUEST_MILLI_TOKENS

/** Returns the most thousandths of a token that a share of [sharePermille] may hold. */
internal fun RateLimit.capacityMilliTokens(sharePermille: Int): Long = burst.toLong() * sharePermille
