package org.chestnutloom.edge.http

import kotlin.random.Random

/**
 * A response of a scripted server, with header lines in the order that [random] gives.
 *
 * @property id the id of the exchange that the response belongs to, or null to leave the header out
 * @property isLast whether the response says that its connection closes
 */
internal class ScriptedMessage(
    val id: String?,
    val framing: MessageFraming,
    random: Random,
) {
    val status = if (framing == MessageFraming.STATUS) STATUS_WITHOUT_BODY else STATUSES.random(random)
    val isLast = framing == MessageFraming.CLOSE || random.nextInt(CLOSING_SHARE) == 0
    private val pieces = List(random.nextInt(MAX_PIECES)) { "[$id/$it]".repeat(1 + random.nextInt(MAX_REPEATS)) }
    val body = if (framing in WITHOUT_BODY) "" else pieces.joinToString("")
    val head = (listOf("HTTP/1.1 $status Reason") + headers().shuffled(random)).joinToString("\r\n") + "\r\n\r\n"
    val text = head + framedBody()

    private fun headers(): List<String> =
        listOfNotNull(
            "Date: Sat, 05 Dec 2026",
            id?.let { "$ID_HEADER: $it" },
            "Connection: close".takeIf { isLast },
            when (framing) {
                MessageFraming.LENGTH, MessageFraming.HEAD -> "Content-Length: ${pieces.sumOf { it.length }}"
                MessageFraming.CHUNKS -> "Transfer-Encoding: chunked"
                MessageFraming.CLOSE, MessageFraming.STATUS -> null
            },
        )

    private fun framedBody(): String {
        if (framing != MessageFraming.CHUNKS) return body
        val chunks = pieces.joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
        return chunks + "0\r\nX-Sum: 1\r\n\r\n"
    }

    internal companion object {
        const val ID_HEADER = "Attempt-Id"
        private const val HEX = 16
        private const val MAX_PIECES = 4
        private const val MAX_REPEATS = 6
        private const val CLOSING_SHARE = 8
        private const val STATUS_WITHOUT_BODY = 204
        private val WITHOUT_BODY = setOf(MessageFraming.STATUS, MessageFraming.HEAD)
        private val STATUSES = listOf(200, 201, 404, 500, 503)
    }
}
