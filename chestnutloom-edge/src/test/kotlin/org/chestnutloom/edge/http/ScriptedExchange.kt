package org.chestnutloom.edge.http

/**
 * The bytes that a scripted server sends in and after one exchange.
 *
 * @property ahead the bytes ahead of the response
 * @property sentBytes the number of bytes of [own] that are sent
 * @property behind the bytes behind the response
 * @property isBehindLater whether [behind] arrives in later reads than the response, rather than joined to its bytes
 */
internal class ScriptedExchange(
    val disorder: Disorder,
    val ahead: String,
    val own: ScriptedMessage,
    val sentBytes: Int,
    val behind: String,
    val isBehindLater: Boolean,
    val ending: ConnectionEnding,
) {
    /** Whether the connection may serve another exchange: exactly one whole response has arrived and nothing else. */
    val allowsNext = disorder == Disorder.NONE && ending == ConnectionEnding.NONE && !own.isLast

    /** Whether the connection must not serve another exchange; whole late responses are left to the connection. */
    val forbidsNext = !allowsNext && (disorder != Disorder.LATE_WHOLE || ending != ConnectionEnding.NONE || own.isLast)

    /** Whether other bytes may have been taken for a part of the response, or its bytes for a part of another one. */
    val isJoined =
        disorder == Disorder.LATE_PART || disorder == Disorder.LATE_WHOLE && own.framing == MessageFraming.HEAD

    private val isWhole = sentBytes == own.text.length

    /** Returns what is wrong with the [parts] that the client got, or null if nothing is. */
    fun faultOf(parts: List<ResponsePart>): String? = foreignPart(parts) ?: untrueEnd(parts) ?: missingPart(parts)

    private fun foreignPart(parts: List<ResponsePart>): String? {
        val heads = parts.filterIsInstance<ResponsePart.Head>().map { it.response }
        return when {
            heads.size > 1 -> "two heads"
            heads.any { it.headers().get(ScriptedMessage.ID_HEADER) != own.id } -> "the head of another response"
            heads.any { it.status().code() != own.status } -> "a status of another response"
            !own.body.startsWith(dataOf(parts)) -> "body bytes of another response"
            else -> null
        }
    }

    private fun untrueEnd(parts: List<ResponsePart>): String? {
        if (parts.count { it is ResponsePart.End || it is ResponsePart.Aborted } > 1) return "two ends"
        val end = parts.lastOrNull() as? ResponsePart.End ?: return null
        val isDelimited = end.framing != ResponseFraming.CONNECTION
        val isOrderly = own.framing == MessageFraming.CLOSE && ending == ConnectionEnding.FIN
        return when {
            isDelimited && !own.framing.isDelimited -> "a delimited end without a length"
            isDelimited && dataOf(parts) != own.body -> "a delimited end before the whole body"
            !isDelimited && !isOrderly -> "an end by close without a close of the server"
            !isDelimited && dataOf(parts) != own.text.take(sentBytes).drop(own.head.length) -> "a body with a gap"
            else -> null
        }
    }

    /** What is left out of a response that was not joined to a part of another one. */
    private fun missingPart(parts: List<ResponsePart>): String? {
        val end = parts.lastOrNull()
        val isDelimitedAndWhole = isWhole && own.framing.isDelimited
        val isHeadWhole = sentBytes >= own.head.length
        return when {
            end !is ResponsePart.End && end !is ResponsePart.Aborted -> "no end"
            isJoined -> null
            isDelimitedAndWhole && end !is ResponsePart.End -> "no end of a whole response"
            own.framing.isDelimited || ending != ConnectionEnding.FIN -> null
            isHeadWhole && end !is ResponsePart.End -> "no end of a response that the server closed"
            else -> null
        }
    }

    private fun dataOf(parts: List<ResponsePart>): String =
        parts.filterIsInstance<ResponsePart.Data>().joinToString("") { it.bytes.decodeToString() }
}
