package org.chestnutloom.edge.outlier

/** What an attempt tells about the health of its target. */
internal enum class AttemptOutcome {
    /** The target sent a complete response, whatever its status. */
    SUCCEEDED,

    /** The target may have run the request, and its response is missing, malformed or incomplete. */
    LOST,

    /** No connection to the target could be opened, so it did not run the request. */
    CONNECT_FAILED,

    /** The target said that it did not run the request, because it is full. */
    FULL,

    /** The caller left or its time ran out, which tells nothing about the target. */
    UNKNOWN,
}
