package org.chestnutloom.lease

import org.chestnutloom.store.Row

/** Why a write under a lease did not take effect; after each of these it never will. */
public sealed interface LeaseFailure {
    /** The store cannot be reached. */
    public data class StoreDown(
        public val detail: String,
    ) : LeaseFailure

    /** The lease is lost to a fencing or to a newer run of the process, or it was never acquired. */
    public data object NotHeld : LeaseFailure

    /** A condition on another row than the lease did not hold. */
    public data class Conflict(
        public val failedKeys: List<String>,
        public val current: List<Row>,
    ) : LeaseFailure
}
