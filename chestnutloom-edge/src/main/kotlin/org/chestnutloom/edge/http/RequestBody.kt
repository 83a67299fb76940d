package org.chestnutloom.edge.http

/**
 * The body of a request, which is the concatenation of its parts.
 *
 * The parts are not joined, so that a long body that consists of what is in memory already takes no memory of its own.
 */
public class RequestBody(
    parts: List<ByteArray>,
) {
    private val parts = parts.filter { it.isNotEmpty() }

    /** The total size in bytes. */
    public val size: Long = parts.sumOf { it.size.toLong() }

    /** Whether the body has no bytes. */
    public val isEmpty: Boolean
        get() = size == 0L

    /** Returns the body as slices of at most [maxBytes] each, in their order. */
    internal fun slices(maxBytes: Int): Sequence<BodySlice> =
        parts.asSequence().flatMap { part ->
            (part.indices step maxBytes).asSequence().map { BodySlice(part, it, minOf(maxBytes, part.size - it)) }
        }

    /** Returns the whole body in one array, which is that of its only part if it has one. */
    internal fun joined(): ByteArray {
        parts.singleOrNull()?.let { return it }
        val bytes = ByteArray(size.toInt())
        var offset = 0
        parts.forEach { part ->
            part.copyInto(bytes, offset)
            offset += part.size
        }
        return bytes
    }
}
