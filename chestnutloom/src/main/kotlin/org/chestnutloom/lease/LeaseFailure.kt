package org.chestnutloom.lease

import org.chestnutloom.store.Row

/** Why a write under a lease failed. In each case the write did not take effect and never will. */
public sealed interface LeaseFailure {
    /** The store is unavailable. */
    public data class StoreUnavailable(
        public val detail: String,
    ) : LeaseFailure

    /** The lease was never acquired, or was lost to fencing or to a newer run of the process. */
    public data object NotHeld : LeaseFailure

    /** A condition on a row other than the lease row did not hold. */
    public data class Conflict(
        public val failedKeys: List<String>,
        public val current: List<Row>,
    ) : LeaseFailure
}
