package org.chestnutloom.gateway.control

/** Why the journal did not load or record something. */
public sealed interface JournalFailure {
    /** The store cannot be reached. */
    public data class StoreUnavailable(
        public val detail: String,
    ) : JournalFailure

    /** This gateway no longer owns the program; another one may have changed it. */
    public data object NotOwner : JournalFailure
}
