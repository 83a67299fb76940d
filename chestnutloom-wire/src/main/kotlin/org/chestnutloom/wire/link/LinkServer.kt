package org.chestnutloom.wire.link

/** The answering end of links: takes connections and hands their requests to a [LinkHandler]. */
public interface LinkServer {
    /** Starts to take connections, and returns the port that it listens on. */
    public suspend fun start(): Int

    /** Takes no more connections, and closes those that are open. */
    public suspend fun stop()
}
