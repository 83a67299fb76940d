package org.chestnutloom.wire.link

import kotlin.time.Duration

/** The server side of links: accepts connections and dispatches their requests to a [LinkHandler]. */
public interface LinkServer {
    /** Starts accepting connections, and returns the bound port. */
    public suspend fun start(): Int

    /**
     * Waits up to [timeout] until the replies to all requests have been sent, except to those that never end, and closes
     * the connections for sending.
     */
    public suspend fun drain(timeout: Duration)

    /** Stops accepting connections, and closes open ones. */
    public suspend fun stop()
}
