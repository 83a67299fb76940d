package org.chestnutloom.wire.link

/** The server side of links: accepts connections and dispatches their requests to a [LinkHandler]. */
public interface LinkServer {
    /** Starts accepting connections, and returns the bound port. */
    public suspend fun start(): Int

    /** Stops accepting connections, and closes open ones. */
    public suspend fun stop()
}
