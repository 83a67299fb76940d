package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponsePart

/** The result of buffering a response body. */
internal sealed interface CollectedBody {
    /** The complete body. */
    class Complete(
        val body: ByteArray,
        val end: ResponsePart.End,
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
