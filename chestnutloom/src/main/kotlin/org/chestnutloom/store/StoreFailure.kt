package org.chestnutloom.store

/** Why a store operation did not give its result. */
public sealed interface StoreFailure {
    /** The store answered that it cannot serve now, and the operation had no effect. */
    public data class Unavailable(
        public val detail: String,
    ) : StoreFailure

    /** No answer came, so the operation may or may not have taken effect, now or later. */
    public data class OutcomeUnknown(
        public val detail: String,
    ) : StoreFailure

    /**
     * A condition did not hold, and the transaction had no effect.
     *
     * @property current the rows as they stand, for those conditions that failed and whose rows exist
     */
    public data class Conflict(
        public val failedKeys: List<String>,
        public val current: List<Row>,
    ) : StoreFailure

    /** The store answered with something that this client cannot read. */
    public data class Malformed(
        public val detail: String,
    ) : StoreFailure
}
