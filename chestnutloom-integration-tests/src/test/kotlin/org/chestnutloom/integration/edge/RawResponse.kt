package org.chestnutloom.integration.edge

/** Everything that came back on a connection. */
class RawResponse(
    val text: String,
) {
    /** The status, or 0 when no answer came. */
    val status: Int
        get() =
            text
                .substringBefore("\r\n")
                .split(' ')
                .getOrNull(1)
                ?.toInt() ?: 0

    /** What follows the headers. */
    val body: String
        get() = text.substringAfter("\r\n\r\n", "")

    /** Whether a body in chunks has its last chunk. */
    val hasLastChunk: Boolean
        get() = text.endsWith("0\r\n\r\n")

    /** Returns the value of the header called [name], or null without one. */
    fun header(name: String): String? =
        text
            .substringBefore("\r\n\r\n")
            .lines()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}
