package org.chestnutloom.gateway.control

/** How an attempt to borrow tokens ended. */
internal enum class BorrowOutcome {
    /** The requests that wait are covered. */
    COVERED,

    /** Every holder said that it has no tokens to spare. */
    LACKING,

    /** A holder did not answer, or gave all that it was asked for, so there may be more tokens. */
    UNANSWERED,
}
