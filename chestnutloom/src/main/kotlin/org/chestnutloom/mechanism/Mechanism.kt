package org.chestnutloom.mechanism

/**
 * A safety mechanism that tests can disable to show which failure it prevents.
 *
 * Production processes run with all of them enabled.
 */
public enum class Mechanism {
    /** A gateway acts as owner only while it holds a lease, and its writes are conditional on that lease. */
    OWNER_FENCING,

    /** A turn runs only after the previous turn has ended, and a retried turn gets the recorded response. */
    TURN_ORDER,

    /** A non-idempotent call is sent only after a durable intent, and never again after an unknown outcome. */
    DURABLE_INTENT,

    /** A sidecar runs each call id at most once. */
    DUPLICATE_SUPPRESSION,

    /** After a sidecar reported a call as not run, it refuses to run the call. */
    NOT_RUN_FENCE,

    /** A call's maximum cost is reserved before it starts. */
    BUDGET_RESERVATION,

    /** Gateways spend only their own share of a client account's rate and burst. */
    RATE_ESCROW,

    /** A gateway serves authenticated requests only with a recent proof that its keys and configuration are current. */
    FRESHNESS,

    /** Calls are checked for withdrawn keys again at dequeue, and running calls of withdrawn keys are cancelled. */
    WITHDRAWAL_CANCEL,

    /** Callers' credentials are removed from a call before the gateway forwards it. */
    KEY_STRIPPING,

    /** A response is complete only if all its chunks and its end were received; an interrupted stream is resumed. */
    STREAM_COMPLETENESS,

    /** A process never applies a configuration version lower than its current one. */
    CONFIG_MONOTONIC,

    /** Configuration changes use compare-and-set. */
    CONFIG_COMPARE_AND_SET,

    /** Targets in state LEAVING receive no new calls. */
    DRAIN,

    /** A graceful shutdown completes in-flight requests. */
    GRACEFUL_STOP,

    /** The engine cache of ended and abandoned programs is freed. */
    CACHE_RELEASE,

    /** Request bodies that were in flight at two crashes are refused by the whole fleet. */
    QUARANTINE,

    /** Links without traffic for too long are closed and reopened. */
    LINK_HEARTBEAT,
}
