package org.chestnutloom.edge.http

/** What happens to a connection after the bytes of an exchange. */
internal enum class ConnectionEnding {
    /** It stays open for the next exchange. */
    NONE,

    /** The server closes it gracefully. */
    FIN,

    /** The server resets it. */
    RESET,

    /** Nothing more arrives, and the client closes it. */
    SILENCE,
}
