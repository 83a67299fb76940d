package org.chestnutloom.edge.call

/** What came of reading the body of an answer. */
internal sealed interface CollectedBody {
    /** The whole body. */
    class Whole(
        val body: ByteArray,
    ) : CollectedBody

    /** The beginning of a body that is too long to be held back. */
    class TooLong(
        val body: ByteArray,
    ) : CollectedBody

    /** The connection ended before the body did. */
    data class Broken(
        val cause: String,
    ) : CollectedBody
}
