package org.chestnutloom.fakes.edge

/** What a scripted target does with the connection after writing a response. */
public enum class ConnectionAction {
    /** Keeps the connection open for the next request. */
    KEEP_ALIVE,

    /** Closes the connection gracefully. */
    CLOSE,

    /** Closes the connection with a TCP reset. */
    RESET,

    /** Stops listening and closes all connections gracefully, as the kernel does for a process that is killed. */
    KILL,
}
