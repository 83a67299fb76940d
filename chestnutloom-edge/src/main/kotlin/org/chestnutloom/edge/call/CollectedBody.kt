package org.chestnutloom.edge.call

/** The result of buffering a response body. */
internal sealed interface CollectedBody {
    /** The complete body. */
    class Complete(
        val body: ByteArray,
    ) : CollectedBody

    /** The first part of a body that exceeds the buffer limit. */
    class TooLarge(
        val body: ByteArray,
    ) : CollectedBody

    /** The connection was closed before the body was complete. */
    data class Aborted(
        val cause: String,
    ) : CollectedBody
}
