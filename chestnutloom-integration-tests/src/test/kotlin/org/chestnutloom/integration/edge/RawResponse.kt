package org.chestnutloom.integration.edge

/**
 * All bytes received on a connection, as text.
 *
 * @property isReset whether the connection was reset behind them
 */
class RawResponse(
    val text: String,
    val isReset: Boolean = false,
) {
    /** The status code, or 0 if there is no response. */
    val status: Int
        get() =
            text
                .substringBefore("\r\n")
                .split(' ')
                .getOrNull(1)
                ?.toInt() ?: 0

    /** The bytes after the headers. */
    val body: String
        get() = text.substringAfter("\r\n\r\n", "")

    /** Whether a chunked body has its last chunk. */
    val hasLastChunk: Boolean
        get() = text.endsWith("0\r\n\r\n")

    /** Returns the value of header [name], or null if it is absent. */
    fun header(name: String): String? =
        text
            .substringBefore("\r\n\r\n")
            .lines()
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}
