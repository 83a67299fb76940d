package org.chestnutloom.gateway.control

/** The result of an attempt to borrow tokens. */
internal enum class BorrowOutcome {
    /** There are enough tokens for the waiting requests. */
    COVERED,

    /** Every holder has replied that it has no more tokens to lend. */
    EXHAUSTED,

    /** At least one holder has not confirmed that it has no more tokens to lend, so another attempt may succeed. */
    INCONCLUSIVE,
}
