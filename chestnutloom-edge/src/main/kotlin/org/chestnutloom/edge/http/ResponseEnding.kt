package org.chestnutloom.edge.http

/** How the response to a caller's request ended, as far as its bytes tell the caller. */
public enum class ResponseEnding {
    /** It has not ended. */
    NONE,

    /** With the last byte of its length. */
    LENGTH,

    /** With its last chunk. */
    LAST_CHUNK,

    /** With its connection, closed in order, to a caller that does not understand chunks. */
    CONNECTION,

    /** With its connection, before it was complete. */
    ABORTED,
}
