package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the platform's store answered to a gateway that asked for another one. */
@Serializable
public sealed interface StoreReply : LinkReply {
    /**
     * The rows that were read, or an acknowledged change without rows.
     *
     * @property version the store's version
     */
    @Serializable
    @SerialName("store-rows")
    public class Rows(
        public val rows: List<RelayedRow>,
        public val version: Long,
    ) : StoreReply

    /** A condition did not hold; [current] are the rows named in the conditions. */
    @Serializable
    @SerialName("store-conflict")
    public class Conflict(
        public val current: List<RelayedRow>,
    ) : StoreReply

    /**
     * The store did not serve the call.
     *
     * @property isOutcomeUnknown whether the call may have taken effect, or may yet
     */
    @Serializable
    @SerialName("store-failed")
    public data class Failed(
        public val detail: String,
        public val isOutcomeUnknown: Boolean,
    ) : StoreReply
}
