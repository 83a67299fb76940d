package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Subscribes to a [LoadReport] now and after each change, at most one per reporting interval. */
@Serializable
@SerialName("watch-load")
public data object WatchLoad : LinkRequest {
    override val isEndless: Boolean
        get() = true
}
