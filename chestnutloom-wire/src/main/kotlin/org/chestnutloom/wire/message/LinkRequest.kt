package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** A request from one process to another; its result is a stream of [LinkReply]. */
@Serializable
public sealed interface LinkRequest {
    /** Whether replies are sent until the sender of the request cancels it. */
    public val isEndless: Boolean
        get() = false
}
