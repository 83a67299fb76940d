package org.chestnutloom.integration.edge

import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.responseHead

/**
 * The bytes of a target's response with the body [pieces], and what they say when only the first of them are sent.
 *
 * @property status the status line's code and reason
 */
class FramedResponse(
    request: ReceivedRequest,
    private val framing: BodyFraming,
    private val pieces: List<String>,
    private val status: String = "200 OK",
    contentType: String = "text/plain",
) {
    private val head = responseHead(request, status) + "Content-Type: $contentType\r\n" + framingHeaders() + "\r\n"
    private val framedBody = framedBody()

    val text = head + framedBody
    val body = pieces.joinToString("")
    val statusCode = status.substringBefore(' ').toInt()

    /**
     * Returns what a caller may take for the whole body after the first [cut] bytes and [ending], or null if the
     * response is not complete.
     */
    fun completeBody(
        cut: Int,
        ending: ConnectionAction,
    ): String? =
        when (framing) {
            BodyFraming.LENGTH -> body.takeIf { cut == text.length }
            BodyFraming.CHUNKS ->
                body.takeIf {
                    cut >=
                        head.length + framedBody.lastIndexOf(LAST_CHUNK) + LAST_CHUNK.length
                }
            BodyFraming.CLOSE ->
                when (ending) {
                    ConnectionAction.RESET -> null
                    ConnectionAction.CRASH -> body.takeIf { cut == text.length }
                    else -> if (cut < head.length) null else text.substring(head.length, cut)
                }
        }

    /** Returns whether nothing but the whole response is right after the first [cut] bytes and [ending]. */
    fun mustBeComplete(
        cut: Int,
        ending: ConnectionAction,
    ): Boolean = cut == text.length && ending == ConnectionAction.CLOSE

    private fun framingHeaders(): String =
        when (framing) {
            BodyFraming.LENGTH -> "Content-Length: ${pieces.sumOf { it.length }}\r\n"
            BodyFraming.CHUNKS -> "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n"
            BodyFraming.CLOSE -> ""
        }

    private fun framedBody(): String =
        when (framing) {
            BodyFraming.CHUNKS -> pieces.joinToString("", transform = ::chunk) + "0\r\nX-Sum: 12\r\n\r\n"
            else -> pieces.joinToString("")
        }

    private fun chunk(piece: String): String = "${piece.length.toString(HEX)}\r\n$piece\r\n"

    private companion object {
        const val HEX = 16
        const val LAST_CHUNK = "\r\n0\r\n"
    }
}
