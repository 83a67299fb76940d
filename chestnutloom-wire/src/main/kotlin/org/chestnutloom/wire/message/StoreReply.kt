package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The outcome of an operation that a gateway ran on the platform's store on behalf of another gateway. */
@Serializable
public sealed interface StoreReply : LinkReply {
    /**
     * The rows that were read, or no rows after a successful change.
     *
     * @property version the store's version
     * @property hasMore whether the partition has more rows than fit into the reply
     */
    @Serializable
    @SerialName("store-rows")
    public class Rows(
        public val rows: List<RelayedRow>,
        public val version: Long,
        public val hasMore: Boolean = false,
    ) : StoreReply

    /** A condition was not met; [current] holds the rows named in the conditions. */
    @Serializable
    @SerialName("store-conflict")
    public class Conflict(
        public val current: List<RelayedRow>,
    ) : StoreReply

    /**
     * The store operation failed.
     *
     * @property isOutcomeUnknown whether the operation may have taken effect, or may still do so
     */
    @Serializable
    @SerialName("store-failed")
    public data class Failed(
        public val detail: String,
        public val isOutcomeUnknown: Boolean,
    ) : StoreReply
}
