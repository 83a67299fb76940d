package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of change to a program's entry in a prefix cache. */
@Serializable
public enum class CacheEventKind {
    /** The entry was stored or grew. */
    @SerialName("stored")
    STORED,

    /** The entry was evicted or released. */
    @SerialName("evicted")
    EVICTED,
}
