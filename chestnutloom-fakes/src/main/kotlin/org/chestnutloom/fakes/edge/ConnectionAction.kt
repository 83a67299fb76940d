package org.chestnutloom.fakes.edge

/** What a scripted target does with the connection after it has written its answer. */
public enum class ConnectionAction {
    /** It takes the next request. */
    KEEP_ALIVE,

    /** It closes the connection in order. */
    CLOSE,

    /** It breaks the connection off. */
    RESET,
}
