package org.chestnutloom.rate

/** How a client account's rate and burst are divided among gateways. */
public enum class RatePolicy {
    /** Gateways hold shares, which move to where the requests come, and borrow tokens from each other. */
    ESCROW,

    /** Each gateway has the same fixed share; a baseline for experiments. */
    STATIC_SHARE,
}
