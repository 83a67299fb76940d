package org.chestnutloom.store

/** Why a store operation failed. */
public sealed interface StoreFailure {
    /** The store reported that it is unavailable, and the operation had no effect. */
    public data class Unavailable(
        public val detail: String,
    ) : StoreFailure

    /** No reply was received: the operation may have taken effect, or may still do so later. */
    public data class OutcomeUnknown(
        public val detail: String,
    ) : StoreFailure

    /**
     * A condition did not hold, and the transaction had no effect.
     *
     * @property current the current rows of the failed conditions, where they exist
     */
    public data class Conflict(
        public val failedKeys: List<String>,
        public val current: List<Row>,
    ) : StoreFailure

    /** The store sent a reply that the client could not decode. */
    public data class Malformed(
        public val detail: String,
    ) : StoreFailure
}
