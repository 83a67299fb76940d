package org.chestnutloom.gateway.control

/** The reason that the journal could not load or record data. */
public sealed interface JournalFailure {
    /** The store is unavailable, or the journal has no room for more buffered changes. */
    public data class StoreUnavailable(
        public val detail: String,
    ) : JournalFailure

    /** This gateway no longer owns the program; another one may have changed it. */
    public data object NotOwner : JournalFailure
}
