package org.chestnutloom.common.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A kind of change to an engine's prefix cache. */
@Serializable
public enum class CacheEventKind {
    /** Tokens were added to the cache. */
    @SerialName("stored")
    STORED,

    /** Tokens were evicted from the cache. */
    @SerialName("evicted")
    EVICTED,
}
