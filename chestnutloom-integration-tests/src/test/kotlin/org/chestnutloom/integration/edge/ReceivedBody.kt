package org.chestnutloom.integration.edge

/**
 * The body of a [RawResponse].
 *
 * @property content the bytes of the body without the framing
 * @property isWhole whether the framing shows that the body is complete; a body without framing is taken for complete,
 *   as callers do
 */
class ReceivedBody(
    val content: String,
    val isWhole: Boolean,
)

/** Returns the body of this response according to its headers. */
fun RawResponse.receivedBody(): ReceivedBody {
    val length = header("Content-Length")?.toInt()
    return when {
        "\r\n\r\n" !in text -> ReceivedBody("", isWhole = false)
        header("Transfer-Encoding") == "chunked" -> chunkedBody(body)
        length != null -> ReceivedBody(body, isWhole = body.length == length)
        else -> ReceivedBody(body, isWhole = true)
    }
}

private fun chunkedBody(framed: String): ReceivedBody {
    val content = StringBuilder()
    var rest = framed
    while (true) {
        val size = rest.substringBefore("\r\n", "").toIntOrNull(HEX) ?: return ReceivedBody(content.toString(), false)
        val afterSize = rest.substringAfter("\r\n")
        if (size == 0) return ReceivedBody(content.toString(), isWhole = afterSize.endsWith("\r\n"))
        content.append(afterSize.take(size))
        rest = afterSize.drop(size).removePrefix("\r\n")
    }
}

private const val HEX = 16
