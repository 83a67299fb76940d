package org.chestnutloom.edge.fleet

/** The result of a [QuotaRequest]. */
public enum class QuotaOutcome {
    /** The request is admitted. */
    GRANTED,

    /** The request waits for the account's rate; another reply follows. */
    QUEUED,

    /** The request would exceed the account's rate limit. */
    REFUSED,

    /** The receiver cannot decide, because it does not enforce the account's limit or is isolated. */
    UNAVAILABLE,
}
