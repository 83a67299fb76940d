package org.chestnutloom.common.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happened to a part of an engine's prefix cache. */
@Serializable
public enum class CacheEventKind {
    /** Tokens were added. */
    @SerialName("stored")
    STORED,

    /** Tokens were dropped. */
    @SerialName("evicted")
    EVICTED,
}
