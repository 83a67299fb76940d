package org.chestnutloom.edge.quota

/**
 * The longest time for which a gateway may hold tokens that it was granted in advance, in milliseconds.
 *
 * While tokens are held, the bucket refills, so the requests of a window exceed rate and burst by at most the rate during
 * this time: a tenth of the rate during five seconds.
 */
internal const val MAX_LOAN_MS: Long = 500

/** The most tokens that are granted in advance by one reply. */
internal const val MAX_LOAN_TOKENS: Int = 64
