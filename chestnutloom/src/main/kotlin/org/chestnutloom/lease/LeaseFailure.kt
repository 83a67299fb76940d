package org.chestnutloom.lease

import org.chestnutloom.store.Row

/**
 * Why an operation on a lease failed.
 *
 * A failed [GatewayLease.write] did not take effect and never will. A failed [GatewayLease.acquire] may still take
 * effect.
 */
public sealed interface LeaseFailure {
    /** The store is unavailable; for [GatewayLease.acquire], the store operation failed for any reason. */
    public data class StoreUnavailable(
        public val detail: String,
    ) : LeaseFailure

    /** The lease was never acquired, or was lost to fencing or to a newer incarnation of the gateway. */
    public data object NotHeld : LeaseFailure

    /** A condition on a row other than the lease row did not hold. */
    public data class Conflict(
        public val failedKeys: List<String>,
        public val current: List<Row>,
    ) : LeaseFailure
}
