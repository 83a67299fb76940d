package org.chestnutloom.rate

/** The share that covers a client account's whole rate and burst, in permille. */
public const val WHOLE_SHARE_PERMILLE: Int = 1000

/** The cost of one request, in thousandths of a token. */
public const val REQUEST_MILLI_TOKENS: Long = 1000

internal const val NANO_PER_MILLI_TOKEN: Long = 1_000_000

internal const val NANO_PER_TOKEN: Long = NANO_PER_MILLI_TOKEN * REQUEST_MILLI_TOKENS

/** Returns the capacity of a share of [sharePermille], in thousandths of a token. */
internal fun RateLimit.capacityMilliTokens(sharePermille: Int): Long = burst.toLong() * sharePermille
