package org.chestnutloom.mechanism

/**
 * A safety mechanism that tests can switch off to show what goes wrong without it.
 *
 * Production processes run with all of them.
 */
public enum class Mechanism {
    /** A gateway acts as owner only under a lease, and its writes require that it still holds the lease. */
    OWNER_FENCING,

    /** A turn runs only after the turn before it has ended, and a repeated turn gets the recorded answer. */
    TURN_ORDER,

    /** A non-idempotent call leaves only after a durable intent, and is never sent again after an unknown outcome. */
    DURABLE_INTENT,

    /** A sidecar runs each call id at most once. */
    DUPLICATE_SUPPRESSION,

    /** A call that is reported as not run is refused by its sidecar from then on. */
    NOT_RUN_FENCE,

    /** The most that a call can cost is reserved before it starts. */
    BUDGET_RESERVATION,

    /** Gateways spend only the share of rate and burst that they hold. */
    RATE_ESCROW,

    /** A gateway serves keyed requests only with a fresh proof that its keys and configuration are current. */
    FRESHNESS,

    /** Withdrawn keys are checked again at dequeue, and their running calls are cancelled. */
    WITHDRAWAL_CANCEL,

    /** Callers' credentials are removed before a call leaves the gateway. */
    KEY_STRIPPING,

    /** An answer counts as whole only when every chunk and its end arrived; a broken stream is continued. */
    STREAM_COMPLETENESS,

    /** A process never puts a lower configuration version in force. */
    CONFIG_MONOTONIC,

    /** Configuration changes are compare-and-set. */
    CONFIG_COMPARE_AND_SET,

    /** Leaving targets get no new calls. */
    DRAIN,

    /** A planned stop finishes the requests under way. */
    GRACEFUL_STOP,

    /** The engine's memory of ended and abandoned programs is freed. */
    CACHE_RELEASE,

    /** Bodies that were in flight at two crashes are refused everywhere. */
    QUARANTINE,

    /** Links that stay silent are closed and opened anew. */
    LINK_HEARTBEAT,
}
