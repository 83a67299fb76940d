package org.chestnutloom.edge.http

/** How the end of a server's response is recognized. */
public enum class ResponseFraming {
    /** By its length. */
    LENGTH,

    /** By its last chunk. */
    CHUNKS,

    /** It has no body, and ends with its head. */
    NO_BODY,

    /** By the end of its connection, which a server that is killed closes as well. */
    CONNECTION,
}
