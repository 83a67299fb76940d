package org.chestnutloom.rate

/** How a client account's rate and burst are divided among gateways. */
public enum class RatePolicy {
    /** Gateways hold shares, which are moved to where requests arrive, and borrow tokens from each other. */
    ESCROW,

    /** All gateways have the same fixed share. A baseline for experiments. */
    STATIC_SHARE,
}
