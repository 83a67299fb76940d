package org.chestnutloom.edge.http

/** How the response to a caller's request ended, as far as its bytes tell the caller. */
public enum class ResponseEnding {
    /** It has not ended. */
    NONE,

    /** With the last byte of its length. */
    LENGTH,

    /** With its last chunk. */
    LAST_CHUNK,

    /** With its connection, before it was complete. */
    ABORTED,
}
